"""One sending of one request to one backend server, and how it ended."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import final

from ..catalog.servers import ServerId

__all__ = ('Attempt', 'Outcome', 'NoReply', 'Reply', 'SendHead')

#: Makes the bytes of a request; takes the time left to the caller in ms.
SendHead = Callable[[float], bytes]


@unique
class NoReply(Enum):
    """Why an attempt brought no reply."""

    #: No connection was there in time, or the server refused one.
    CONNECT_FAILED = 'connect_failed'
    #: The connection broke before a whole reply.
    BROKEN = 'broken'
    #: What came back is no reply to this request.
    BAD_REPLY = 'bad_reply'
    #: The server was taken out of use before anything was sent.
    WITHDRAWN = 'withdrawn'
    #: Another VM that was to ask the server's shard got no answer.
    RELAY_EMPTY = 'relay_empty'
    #: Too little time was left to send anything.
    EXPIRED = 'expired'


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply to this very request.

    :ivar headers: as received, names in lower case.
    :ivar ran: false if the server says that it did not run the request.
    :ivar stamp: the server's signature; empty if it gave none.
    :ivar is_encoded: whether the body is in a content encoding, so that it
        is not the server's own.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    stamp: str
    ran: bool
    is_encoded: bool = False


#: How an attempt ended.
Outcome = Reply | NoReply


@final
class Attempt:
    """Waits for a connection, is sent, and ends once.

    :ivar sent_ms: when it was sent, ``None`` before.
    :ivar ended: whether its ending was told or is of no more interest.
    """

    __slots__ = (
        'deadline_ms',
        'ended',
        'on_end',
        'request_id',
        'send',
        'sent_ms',
        'server',
        'started_ms',
    )

    def __init__(
        self,
        server: ServerId,
        request_id: bytes,
        send: SendHead,
        on_end: 'Callable[[Attempt, Outcome], None]',
    ) -> None:
        """Prepare an attempt.

        :param send: makes the bytes to send once the time left is known.
        :param on_end: told once, unless the attempt is dropped first.
        """
        self.server = server
        self.request_id = request_id
        self.send = send
        self.on_end = on_end
        self.deadline_ms: float = 0
        self.started_ms: float = 0
        self.sent_ms: float | None = None
        self.ended = False

    def end(self, ending: Outcome) -> None:
        """Tell how it ended, unless it is of no more interest."""
        if not self.ended:
            self.ended = True
            self.on_end(self, ending)
