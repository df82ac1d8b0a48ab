"""Commands of the owner to the tasks that do its I/O, and their results."""

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
    """Command to send a sub-request to a backend server now.

    :ivar sub_request: the sub-request.
    :ivar backend: the backend server.
    :ivar deadline_ms: monotonic time at which the attempt must have ended.
    """

    sub_request: SubRequest
    backend: BackendId
    deadline_ms: float


@final
@dataclass(frozen=True, slots=True)
class SendReply:
    """Command to reply to the VM that sent the sub-request."""

    sub_reply: SubReply


@final
@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Command to cancel a started attempt.

    The owner still waits for the outcome of the attempt.
    """

    call: CallId
    backend: BackendId


@final
@dataclass(frozen=True, slots=True)
class ProbeBackend:
    """Command to request the incarnation of a server that gets no work.

    The answer, if there is one, is passed to ``Owner.update_health``.
    Without an answer nothing changes.
    """

    backend: BackendId


OwnerCommand = StartAttempt | SendReply | CancelAttempt | ProbeBackend


@final
@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Result of a started attempt; each attempt has exactly one.

    :ivar call: the call of the sub-request.
    :ivar backend: the backend server that the attempt was sent to.
    :ivar verdict: whether the sub-request ran, and the reason.
    :ivar part: present only when the verdict's reason is ``OK``.
    :ivar held_snapshots: the snapshots that the server holds.
    :ivar draining: whether the server reported that it is leaving.
    :ivar backend_incarnation: empty when the server did not reply.
    :ivar service_ms: time at the server, as measured by the server.
    :ivar hop_ms: time from sending to the end, as measured by this VM.
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
