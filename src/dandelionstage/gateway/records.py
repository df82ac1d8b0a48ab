"""The greatest records of several parts."""

from collections.abc import Iterable
from typing import Final

__all__ = ('RECORD_BYTES', 'greatest_records')

RECORD_BYTES: Final = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Join the greatest records, greatest first, compared byte by byte.

    A remainder shorter than a record is none; equal records all count.
    """
    records: list[bytes] = []
    for part in parts:
        whole_bytes = len(part) - len(part) % RECORD_BYTES
        records.extend(
            part[start : start + RECORD_BYTES]
            for start in range(0, whole_bytes, RECORD_BYTES)
        )
    records.sort(reverse=True)
    return b''.join(records[:count])
