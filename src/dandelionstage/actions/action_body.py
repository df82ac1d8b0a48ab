"""Comparison and encoding of the bodies of actions."""

import hashlib
import json

from ..model.ids import ActionId
from ..model.messages import ActionCall

__all__ = ('encode_action', 'hash_action')


def hash_action(call: ActionCall) -> bytes:
    """Return a SHA-256 hash of the workload and body of a call.

    The JSON text is normalized first, so white space and the order of keys
    do not matter. A body that is not valid JSON is hashed as it is.
    """
    try:
        body = json.dumps(json.loads(call.action_json), sort_keys=True)
    except ValueError:
        body = call.action_json
    text = '{0}\n{1}'.format(call.workload, body)
    return hashlib.sha256(text.encode()).digest()


def encode_action(action_id: ActionId, action_json: str) -> str:
    """Return the JSON that backend servers get: the action and its id."""
    return '{{"action_id":{0},"action":{1}}}'.format(
        json.dumps(action_id),
        action_json,
    )
