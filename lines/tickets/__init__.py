"""Lots and their results, as stores keep them."""
from .lot import BadLot, Item, Lot, check_lot, read_lot
from .rec import Rec, pack, unpack
from .shelf import Shelf
from .quorum import Quorum, active
from .copier import Copier, Deposed

__all__ = ["BadLot", "Item", "Lot", "check_lot", "read_lot", "Rec", "pack", "unpack", "Shelf", "Copier", "Deposed",
           "Quorum", "active"]
