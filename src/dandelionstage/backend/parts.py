"""Converts replies of a backend server into parts of an answer."""

from typing import Any

import pydantic_core

from ..model.ids import RecordId
from ..model.messages import Part, Pin, Record, SubRequest
from .reply_models import Done, Found

__all__ = ('action_part', 'search_part')


def search_part(found: Found) -> Part:
    """Convert a search reply, keeping its shard, snapshot and revision."""
    return Part(
        backend=found.backend,
        shard=found.shard,
        pin=Pin(found.snapshot, found.shard_map_revision),
        records=tuple(_parse_record(record) for record in found.records),
    )


def _parse_record(body: dict[str, Any]) -> Record:
    record = body.get('record')
    if not isinstance(record, str):
        raise ValueError('a record has no id')  # noqa: TRY004 -- bad data
    return Record(RecordId(record), pydantic_core.to_json(body).decode())


def action_part(done: Done, sub_request: SubRequest) -> Part:
    """Convert an action reply to a part with one record.

    The id of the record is the id of the call.
    """
    outcome_json = pydantic_core.to_json(done.outcome).decode()
    return Part(
        backend=done.backend,
        shard=sub_request.owner_key.shard,
        pin=sub_request.pin,
        records=(Record(RecordId(sub_request.call), outcome_json),),
    )
