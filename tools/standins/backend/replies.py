"""Builds the replies of a stand-in backend server, faulty ones too."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

import pydantic_core
import xxhash

from ..http import HttpReply, Sending
from .faults import Faults, ReplyFault
from .messages import CallBody, ServerSetup

__all__ = ('MAY_HAVE_RUN', 'NOT_RUN', 'action_reply', 'refusal', 'search_reply')

MAY_HAVE_RUN: Final = 'may_have_run'
NOT_RUN: Final = 'not_run'

_RETRY_AFTER_MS: Final = 50
_STATUS_OF: Final[Mapping[str, HTTPStatus]] = MappingProxyType(
    {
        'overloaded': HTTPStatus.TOO_MANY_REQUESTS,
        'deadline_expired': HTTPStatus.GATEWAY_TIMEOUT,
        'cancelled': HTTPStatus.CONFLICT,
        'snapshot_gone': HTTPStatus.CONFLICT,
        'shard_moved': HTTPStatus.CONFLICT,
    },
)
_SENDING_OF: Final[Mapping[ReplyFault, Sending]] = MappingProxyType(
    {
        ReplyFault.LOST: Sending.CLOSED,
        ReplyFault.WITHHELD: Sending.WITHHELD,
        ReplyFault.CUT: Sending.CUT,
        ReplyFault.REPEATED: Sending.TWICE,
    },
)
_WRONG_FIELD: Final[Mapping[ReplyFault, str]] = MappingProxyType(
    {
        ReplyFault.WRONG_CALL: 'call',
        ReplyFault.WRONG_BACKEND: 'backend',
        ReplyFault.WRONG_SNAPSHOT: 'snapshot',
        ReplyFault.WRONG_SHARD: 'shard',
    },
)

_Fields = dict[str, Any]


def search_reply(
    body: CallBody,
    setup: ServerSetup,
    faults: Faults,
    fault: ReplyFault,
) -> HttpReply:
    """Answer a search with records that depend on nothing but it."""
    answer = _head(body, setup, faults) | {
        'shard': body.shard,
        'snapshot': body.snapshot,
        'shard_map_revision': body.shard_map_revision,
        'records': _records(body, setup, faults),
    }
    return _finish(answer, fault)


def action_reply(
    body: CallBody,
    setup: ServerSetup,
    faults: Faults,
    fault: ReplyFault,
) -> HttpReply:
    """Say that an action was done."""
    answer = _head(body, setup, faults) | {'outcome': {'done': body.action_id}}
    return _finish(answer, fault)


def refusal(
    body: CallBody,
    setup: ServerSetup,
    faults: Faults,
    reason: str,
    run: str,
) -> HttpReply:
    """Refuse a call and say whether it may have run."""
    answer = _head(body, setup, faults) | {
        'reason': reason,
        'run': run,
        'retry_after_ms': _RETRY_AFTER_MS,
    }
    status = _STATUS_OF.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
    return HttpReply(status, pydantic_core.to_json(answer))


def _finish(answer: _Fields, fault: ReplyFault) -> HttpReply:
    wrong_field = _WRONG_FIELD.get(fault)
    if wrong_field:
        answer[wrong_field] = 'wrong'
    encoded = pydantic_core.to_json(answer)
    if fault is ReplyFault.MALFORMED:
        encoded = encoded[:-1]
    sending = _SENDING_OF.get(fault, Sending.WHOLE)
    return HttpReply(HTTPStatus.OK, encoded, sending)


def _head(body: CallBody, setup: ServerSetup, faults: Faults) -> _Fields:
    held = setup.snapshots or filter(None, [body.snapshot])
    return {
        'call': body.call,
        'backend': setup.backend,
        'incarnation': setup.incarnation,
        'held_snapshots': [
            snapshot
            for snapshot in held
            if snapshot not in faults.gone_snapshots
        ],
        'draining': faults.draining,
    }


def _records(
    body: CallBody,
    setup: ServerSetup,
    faults: Faults,
) -> list[_Fields]:
    asked = '{0}:{1}:{2}'.format(body.shard, body.snapshot, body.query)
    found = xxhash.xxh32_hexdigest(asked.encode())
    records: list[_Fields] = [
        {'record': '{0}-{1}-{2}'.format(body.shard, found, rank), 'rank': rank}
        for rank in range(setup.record_count)
    ]
    records.extend(
        {'record': record, 'rank': 0}
        for record, shards in faults.straddling.items()
        if body.shard in shards
    )
    return records
