"""Selects the greatest fixed-size records from several replies."""

from collections.abc import Iterable
from struct import iter_unpack
from typing import Final

__all__ = ('RECORD_BYTES', 'greatest_records')

RECORD_BYTES: Final = 16
_RECORD_FORMAT: Final = '16s'


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records concatenated in descending byte order.

    A trailing fragment shorter than a record is ignored.  Equal records are
    kept as separate records.

    :param parts: bodies of the replies, each a sequence of records.
    :param count: maximum number of records to return.
    """
    records: list[bytes] = []
    for part in parts:
        usable_bytes = len(part) - len(part) % RECORD_BYTES
        record_fields = iter_unpack(_RECORD_FORMAT, part[:usable_bytes])
        records.extend(fields[0] for fields in record_fields)
    records.sort(reverse=True)
    return b''.join(records[:count])
