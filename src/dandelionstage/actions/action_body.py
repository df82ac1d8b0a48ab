"""Compares and wraps the bodies of actions."""

import hashlib
import json

from ..model.ids import ActionId
from ..model.messages import ActionCall

__all__ = ('digest_of', 'wrap')


def digest_of(call: ActionCall) -> bytes:
    """Sum up what a call asks for; spelling of the JSON does not matter."""
    try:
        body = json.dumps(json.loads(call.action_json), sort_keys=True)
    except ValueError:
        body = call.action_json
    asked = '{0}\n{1}'.format(call.workload, body)
    return hashlib.sha256(asked.encode()).digest()


def wrap(action_id: ActionId, action_json: str) -> str:
    """Name an action beside its body, as backend servers are sent it."""
    return '{{"action_id":{0},"action":{1}}}'.format(
        json.dumps(action_id),
        action_json,
    )
