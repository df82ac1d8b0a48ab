"""Turns the answers of a backend server into parts."""

from typing import Any

import pydantic_core

from ..model.ids import RecordId
from ..model.messages import Part, Pin, Record, SubRequest
from .reply_models import Done, Found

__all__ = ('part_done', 'part_found')


def part_found(found: Found) -> Part:
    """Take the records of a search, as the server says it ran."""
    return Part(
        backend=found.backend,
        shard=found.shard,
        pin=Pin(found.snapshot, found.shard_map_revision),
        records=tuple(_record(record) for record in found.records),
    )


def _record(body: dict[str, Any]) -> Record:
    record = body.get('record')
    if not isinstance(record, str):
        raise ValueError('a record has no id')  # noqa: TRY004 -- bad data
    return Record(RecordId(record), pydantic_core.to_json(body).decode())


def part_done(done: Done, sub_request: SubRequest) -> Part:
    """Give an action's outcome as the only record, named by its call."""
    outcome_json = pydantic_core.to_json(done.outcome).decode()
    return Part(
        backend=done.backend,
        shard=sub_request.owner_key.shard,
        pin=sub_request.pin,
        records=(Record(RecordId(sub_request.call), outcome_json),),
    )
