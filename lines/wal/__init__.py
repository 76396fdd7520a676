"""The append-only file: checksummed records, synced before anyone is told."""
from .log import LogError, WriteAheadLog
from .records import pack_record, read_records

__all__ = ["LogError", "WriteAheadLog", "pack_record", "read_records"]
