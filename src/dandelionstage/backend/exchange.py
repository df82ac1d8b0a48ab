"""One request and its reply, as they pass to a connection's task."""

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
    """A whole reply, not looked into.

    :ivar service_ms: from the request's send to the end of the reply.
    """

    status: int
    body: bytes
    service_ms: float


@final
@dataclass(frozen=True, slots=True)
class NoReply:
    """No reply came that could be read.

    :ivar sent_at_ms: monotonic time of the send, ``None`` if no byte was
        handed over: then the request certainly did not run.
    """

    reason: Reason
    sent_at_ms: float | None = None
    detail: str = ''


@final
class Exchange(Generic[OutcomeT]):
    """One request handed to a connection's task.

    :ivar target: path of the request.
    :ivar deadline_ms: monotonic time after which the reply is worthless.
    """

    def __init__(
        self,
        target: bytes,
        encode: Callable[[float], bytes],
        read: Callable[[Reply], Result[OutcomeT, str]],
        deadline_ms: float,
    ) -> None:
        """Describe a request.

        :param encode: builds the body from the milliseconds left, at the
            last moment, so that time spent on connecting is not promised.
        :param read: reads a reply, or says why it is none to this request.
        """
        self.target = target
        self.deadline_ms = deadline_ms
        self._encode = encode
        self._read = read
        self._done = anyio.Event()
        self._end: Result[OutcomeT, NoReply] = Failure(
            NoReply(Reason.INTERNAL_ERROR),
        )

    @property
    def is_out(self) -> bool:
        """Whether it has not ended."""
        return not self._done.is_set()

    def encode(self, now_ms: float) -> bytes:
        """Build the body right before it is sent."""
        return self._encode(self.deadline_ms - now_ms)

    def settle(self, sent_at_ms: float, reply: Reply) -> bool:
        """Read a reply; ``False`` if the connection cannot be trusted."""
        self._end = self._read(reply).alt(
            lambda detail: NoReply(Reason.BAD_REPLY, sent_at_ms, detail),
        )
        self._done.set()
        return not isinstance(self._end, Failure)

    def lose(self, lost: NoReply) -> None:
        """Tell whoever waits that no reply will come."""
        if not self._done.is_set():
            self._end = Failure(lost)
            self._done.set()

    async def wait(self) -> Result[OutcomeT, NoReply]:
        """Wait for the end."""
        await self._done.wait()
        return self._end
