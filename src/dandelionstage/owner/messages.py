"""Typed messages between an owner and the tasks that serve it."""

from dataclasses import dataclass
from typing import final

from ..model.ids import BackendId, CallId, SnapshotId
from ..model.messages import Part, SubReply, SubRequest
from ..model.verdict import Verdict

__all__ = ('AttemptOutcome', 'CancelAttempt', 'SendReply', 'StartAttempt')


@final
@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a sub-request to a backend server.

    :ivar deadline_ms: monotonic time after which the reply is worthless.
    """

    sub_request: SubRequest
    backend: BackendId
    deadline_ms: float


@final
@dataclass(frozen=True, slots=True)
class SendReply:
    """Answer the entry that sent a sub-request."""

    sub_reply: SubReply


@final
@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt whose answer nobody waits for."""

    call: CallId
    backend: BackendId


@final
@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How one attempt at a backend server ended.

    :ivar part: present only when the verdict's reason is ``OK``.
    :ivar held_snapshots: what the backend server said it holds.
    :ivar draining: the backend server said that it is leaving.
    :ivar backend_incarnation: empty when the server said nothing.
    :ivar service_ms: from the request's send to the end of the reply.
    :ivar hop_ms: the whole attempt, waiting for a connection included.
    """

    call: CallId
    backend: BackendId
    verdict: Verdict
    part: Part | None = None
    held_snapshots: tuple[SnapshotId, ...] = ()
    draining: bool = False
    backend_incarnation: str = ''
    service_ms: float = 0
    hop_ms: float = 0
