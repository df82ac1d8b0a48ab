"""Encodes the bodies of requests to backend servers.

The JSON text of the caller is inserted without being parsed: the closing
brace of the common fields is cut off, and the text follows.
"""

import pydantic_core

from ..model.ids import CallId
from ..model.messages import SubRequest

__all__ = ('encode_action', 'encode_cancel', 'encode_search')


def encode_search(sub_request: SubRequest, remaining_ms: float) -> bytes:
    """Encode a search, with the caller's query unchanged.

    :param remaining_ms: time that the server has from receiving the request.
    """
    common_fields = _common_fields(sub_request, remaining_ms) | {
        'snapshot': sub_request.pin.snapshot,
        'shard_map_revision': sub_request.pin.shard_map_revision,
    }
    return b'%b,"query":%b}' % (
        pydantic_core.to_json(common_fields)[:-1],
        sub_request.query_json.encode(),
    )


def encode_action(sub_request: SubRequest, remaining_ms: float) -> bytes:
    """Encode an action.

    ``query_json`` is an object with ``action_id`` and ``action``; both are
    added to the common fields.
    """
    return b'%b,%b' % (
        pydantic_core.to_json(_common_fields(sub_request, remaining_ms))[:-1],
        sub_request.query_json.encode()[1:],
    )


def encode_cancel(call: CallId, _remaining_ms: float) -> bytes:
    """Encode a request to cancel a call."""
    return pydantic_core.to_json({'call': call})


def _common_fields(
    sub_request: SubRequest,
    remaining_ms: float,
) -> dict[str, str | int | float]:
    return {
        'call': sub_request.call,
        'request': sub_request.request,
        'customer': sub_request.customer,
        'workload': sub_request.owner_key.workload,
        'shard': sub_request.owner_key.shard,
        'priority': sub_request.priority.value,
        'deadline_ms': remaining_ms,
    }
