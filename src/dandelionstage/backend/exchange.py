"""A request to a backend server and the result of sending it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar, final

import anyio
from returns.result import Failure, Result

from ..model.verdict import Reason

__all__ = ('Exchange', 'NoReply', 'Reply')

OutcomeT = TypeVar('OutcomeT')


@final
@dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply whose body has not been parsed.

    :ivar service_ms: time from sending the request to the end of the reply.
    """

    status: int
    body: bytes
    service_ms: float


@final
@dataclass(frozen=True, slots=True)
class NoReply:
    """The reason why a request has no valid reply.

    :ivar sent_at_ms: monotonic time at which the request was sent, ``None``
        if no byte was passed to the socket: the request has not run.
    """

    reason: Reason
    sent_at_ms: float | None = None
    detail: str = ''


@final
class Exchange(Generic[OutcomeT]):
    """A request to be sent by the task of a connection.

    :ivar target: path of the request.
    :ivar deadline_ms: monotonic time after which the reply is not used.
    """

    def __init__(
        self,
        target: bytes,
        encode: Callable[[float], bytes],
        read: Callable[[Reply], Result[OutcomeT, str]],
        deadline_ms: float,
    ) -> None:
        """Create a pending exchange.

        :param encode: builds the body from the remaining time in
            milliseconds; called after connecting, so that the server is not
            given time that connecting has used.
        :param read: parses a reply, or returns why the reply is not valid for
            this request.
        """
        self.target = target
        self.deadline_ms = deadline_ms
        self._encode = encode
        self._read = read
        self._done = anyio.Event()
        self._result: Result[OutcomeT, NoReply] = Failure(
            NoReply(Reason.INTERNAL_ERROR),
        )

    @property
    def is_pending(self) -> bool:
        """Whether the exchange has no result yet."""
        return not self._done.is_set()

    def encode(self, now_ms: float) -> bytes:
        """Build the body immediately before it is sent."""
        return self._encode(self.deadline_ms - now_ms)

    def complete(self, sent_at_ms: float, reply: Reply) -> bool:
        """Parse a reply and set the result.

        :returns: whether the reply was valid; after an invalid reply the
            connection is not used again.
        """
        self._result = self._read(reply).alt(
            lambda detail: NoReply(Reason.BAD_REPLY, sent_at_ms, detail),
        )
        self._done.set()
        return not isinstance(self._result, Failure)

    def fail(self, no_reply: NoReply) -> None:
        """Set a failure as the result unless there is a result already."""
        if not self._done.is_set():
            self._result = Failure(no_reply)
            self._done.set()

    async def wait(self) -> Result[OutcomeT, NoReply]:
        """Wait for the result."""
        await self._done.wait()
        return self._result
