"""Selects the greatest fixed-size records from several replies."""

from collections.abc import Iterable, Sequence
from struct import iter_unpack
from typing import Final

__all__ = ('RECORD_BYTES', 'greatest_records', 'records_in_common_answer')

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


def records_in_common_answer(parts: Sequence[bytes], count: int) -> list[bytes]:
    """Return of each part the records that an answer of all may contain.

    :param parts: bodies of the replies that the answer is made from.
    :param count: maximum number of records in the answer.
    """
    greatest = [greatest_records((part,), count) for part in parts]
    common = greatest_records(greatest, count)
    if len(common) < count * RECORD_BYTES:
        return greatest
    least = common[-RECORD_BYTES:]
    return [_at_least(least, records) for records in greatest]


def _at_least(least: bytes, records: bytes) -> bytes:
    """Return the descending records that are not below one of them."""
    end = 0
    for fields in iter_unpack(_RECORD_FORMAT, records):
        if fields[0] < least:
            break
        end += RECORD_BYTES
    return records[:end]
