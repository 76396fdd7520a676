"""The memory that a process holds for others: what it may hold of each kind, who waits for it, and who gives way."""

from .decisions import Growing, Holding, can_all_grow, choose_to_give_way
from .held_body import HELD_BODY, HeldBody, retain_held_body
from .pool import Charge, MemoryFullError, MemoryPool
from .recent_texts import RecentTexts
from .shares import MemoryShares
from .store_shares import StoreShares

__all__ = [
    "HELD_BODY",
    "Charge",
    "Growing",
    "HeldBody",
    "Holding",
    "MemoryFullError",
    "MemoryPool",
    "MemoryShares",
    "RecentTexts",
    "StoreShares",
    "can_all_grow",
    "choose_to_give_way",
    "retain_held_body",
]
