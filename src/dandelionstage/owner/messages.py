"""Messages between the owner's decisions and the tasks that carry them."""

from dataclasses import dataclass
from typing import final

from ..model.ids import BackendId, CallId, SnapshotId
from ..model.messages import Part, SubReply, SubRequest
from ..model.verdict import Verdict

__all__ = (
    'AttemptOutcome',
    'CancelAttempt',
    'OwnerCommand',
    'ProbeBackend',
    'SendReply',
    'StartAttempt',
)


@final
@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send a sub-request to a backend server now.

    :ivar deadline_ms: monotonic time at which the attempt must have ended.
    """

    sub_request: SubRequest
    backend: BackendId
    deadline_ms: float


@final
@dataclass(frozen=True, slots=True)
class SendReply:
    """Tell the entry how its sub-request ended."""

    sub_reply: SubReply


@final
@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel a started attempt; its outcome is still awaited."""

    call: CallId
    backend: BackendId


@final
@dataclass(frozen=True, slots=True)
class ProbeBackend:
    """Ask a server that gets no work for its incarnation (a hint)."""

    backend: BackendId


OwnerCommand = StartAttempt | SendReply | CancelAttempt | ProbeBackend


@final
@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """How a started attempt ended; each has exactly one.

    :ivar part: present only when the verdict's reason is ``OK``.
    :ivar draining: the server said that it is leaving.
    :ivar backend_incarnation: empty when the server did not reply.
    :ivar service_ms: time at the server, as it says.
    :ivar hop_ms: time from send to end, as seen here.
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
