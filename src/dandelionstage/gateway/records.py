"""The greatest records of several parts."""

from collections.abc import Iterable
from struct import iter_unpack
from typing import Final

__all__ = ('RECORD_BYTES', 'greatest_records')

RECORD_BYTES: Final = 16
_FORMAT: Final = '16s'


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Join the greatest records, greatest first, compared byte by byte.

    A remainder shorter than a record is none; equal records all count.
    """
    records: list[bytes] = []
    for part in parts:
        whole_bytes = len(part) - len(part) % RECORD_BYTES
        cut = iter_unpack(_FORMAT, part[:whole_bytes])
        records.extend(fields[0] for fields in cut)
    records.sort(reverse=True)
    return b''.join(records[:count])
