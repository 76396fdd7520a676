"""The append-only file: checksummed records, synced before anyone is told."""
from .book import BookFault, Tollbook
from .records import pack_record, read_records

__all__ = ["BookFault", "Tollbook", "pack_record", "read_records"]
