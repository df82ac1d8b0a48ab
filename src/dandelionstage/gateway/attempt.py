"""A single attempt to send a request to a backend server, and its outcome."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from ..catalog.servers import ServerId

__all__ = (
    'Attempt',
    'AttemptPurpose',
    'BuildRequest',
    'NoReply',
    'Outcome',
    'Reply',
)

#: Builds the bytes of a request from the time left to the caller in ms.
BuildRequest = Callable[[float], bytes]


@unique
class AttemptPurpose(Enum):
    """Reasons for which a request is sent to a server."""

    FIRST = 'first'
    RETRY = 'retry'
    HEDGE = 'hedge'
    #: Repeated after the target time.
    LATE_RETRY = 'late_retry'
    #: Sent to one server alone, as the request may end those that run it.
    TRIAL = 'trial'


@unique
class NoReply(Enum):
    """Reasons why an attempt ended without a usable reply."""

    #: No connection was established in time, or the server refused it.
    CONNECT_FAILED = 'connect_failed'
    #: The connection broke before the reply was complete.
    BROKEN = 'broken'
    #: The connection broke, and the server accepts no new ones.
    SERVER_ENDED = 'server_ended'
    #: The bytes received are not a valid reply to this request.
    BAD_REPLY = 'bad_reply'
    #: The request was not sent: the server was taken out of use, or the relay
    #: refused the query.
    WITHDRAWN = 'withdrawn'
    #: A relay VM that was to query the shard received no reply from it.
    RELAY_EMPTY = 'relay_empty'
    #: The server limits its requests and no permit was granted.
    LIMITED = 'limited'
    #: Too little time was left to send the request.
    EXPIRED = 'expired'


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply that carries the id of the request.

    :ivar status: HTTP status code.
    :ivar headers: headers as received, with names in lower case.
    :ivar body: body without its transfer encoding, if any.
    :ivar stamp: signature of the server; empty if the reply has none.
    :ivar ran: false if the server states that it did not run the request.
    :ivar is_encoded: whether the body has a content encoding, so that its
        bytes are not the original ones of the server.
    :ivar limit_per_s: requests a second that the server takes from all VMs
        together, ``None`` if it names no limit, not a number if the limit
        cannot be read.
    :ivar is_leaving: whether the server states that it takes no new work.
    :ivar quiet_ms: how long the server asks this VM to send it nothing.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    stamp: str
    ran: bool
    is_encoded: bool = False
    limit_per_s: float | None = None
    is_leaving: bool = False
    quiet_ms: float = 0


#: How an attempt ended: with a reply, or without one for a reason.
Outcome = Reply | NoReply


@final
class Attempt:
    """One submission of a request to one server, which ends exactly once.

    It ends with an outcome or by being abandoned.  All times are read from the
    monotonic clock.

    :ivar purpose: reason for which it is made.
    :ivar is_head: whether it asks for the head of a reply only.
    :ivar at_work: requests of this VM at the server, this one included, when it
        was submitted.
    :ivar deadline_ms: time at which the server must stop working on it.
    :ivar started_ms: time at which it was submitted.
    :ivar sent_ms: time at which it was sent, ``None`` before that.
    :ivar ended: whether the outcome was reported or the attempt abandoned.
    """

    __slots__ = (
        'at_work',
        'build_request',
        'deadline_ms',
        'ended',
        'is_head',
        'on_end',
        'purpose',
        'request_id',
        'sent_ms',
        'server',
        'started_ms',
    )

    def __init__(
        self,
        server: ServerId,
        request_id: bytes,
        build_request: BuildRequest,
        on_end: 'Callable[[Attempt, Outcome], None]',
    ) -> None:
        """Create an attempt that has not been submitted yet.

        :param build_request: builds the bytes to send from the time left.
        :param on_end: called once with the outcome, unless the attempt is
            abandoned first.
        """
        self.server = server
        self.request_id = request_id
        self.build_request = build_request
        self.on_end = on_end
        self.purpose = AttemptPurpose.FIRST
        self.is_head = False
        self.at_work = 1
        self.deadline_ms: float = 0
        self.started_ms: float = 0
        self.sent_ms: float | None = None
        self.ended = False

    def end(self, outcome: Outcome) -> None:
        """Report the outcome, unless one was reported or it was abandoned."""
        if not self.ended:
            self.ended = True
            self.on_end(self, outcome)
