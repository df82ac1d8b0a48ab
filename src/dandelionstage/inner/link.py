"""One TCP connection between two daemons, with many calls in flight."""

from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

import anyio
from anyio.abc import ByteStream

from ..model.ids import VmId
from .framing import encode_frame
from .messages import (
    PROTOCOL_VERSION,
    Hello,
    InnerMessage,
    Ping,
    Pong,
    pack,
)
from .outbox import CallMessage, OpenCalls, Outbox
from .reading import STREAM_ENDS, read_messages

__all__ = ('Clock', 'Link', 'LinkEnd', 'LinkHandlers')

#: Reads a monotonic clock in milliseconds.
Clock = Callable[[], float]

#: With calls waiting and nothing heard for this long, the peer is pinged.
_PING_AFTER_MS: Final = 300
#: With calls waiting and nothing heard for this long, the link is given up.
_SILENT_AFTER_MS: Final = 1000
#: A link with nothing to do for this long is closed.
_IDLE_AFTER_MS: Final = 60_000


@final
@unique
class LinkEnd(Enum):
    """Why a link ended."""

    CLOSED = 'closed'
    SILENT = 'silent'
    BAD_FRAME = 'bad_frame'
    VERSION_MISMATCH = 'version_mismatch'
    NOT_REACHED = 'not_reached'
    IDLE = 'idle'


@final
@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """What the owner of a link wants to hear; each returns at once.

    :ivar message: a message came.
    :ivar lost: a call will get no reply; the flag says whether any byte of
        it may have reached the peer.
    :ivar ended: the link is gone; called once, after every ``lost``.
    """

    message: Callable[['Link', InnerMessage], None]
    lost: Callable[['Link', CallMessage, bool], None]
    ended: Callable[['Link', LinkEnd], None]


@final
class Link:
    """A connection that owns its socket; others reach it by ``post``.

    Messages posted before it runs wait.

    :ivar peer: the VM at the other end, ``None`` until an accepted link
        has heard its greeting.
    """

    def __init__(
        self,
        greeting: Hello,
        handlers: LinkHandlers,
        clock: Clock,
        peer: VmId | None = None,
    ) -> None:
        """Prepare a link, to the given VM if it is to be dialled."""
        self.peer = peer
        self._handlers = handlers
        self._clock = clock
        self._calls = OpenCalls()
        self._outbox = Outbox(greeting)
        self._scope = anyio.CancelScope()
        self._end = LinkEnd.CLOSED
        self._heard_ms = clock()

    def post(self, message: InnerMessage) -> None:
        """Queue a message; a call that does not fit is reported lost."""
        queued = self._outbox.put(message)
        if not isinstance(message, CallMessage):
            return
        if queued:
            self._calls.open(message, self._clock())
        else:
            self._handlers.lost(self, message, False)

    async def run(self, stream: ByteStream) -> None:
        """Carry messages both ways until either end closes."""
        self._heard_ms = self._clock()
        try:
            with self._scope:
                await _carry(stream, self._outbox, self._take, self._scope)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            self.finish(self._end)

    def check(self, now_ms: float) -> None:
        """Ping a quiet peer, give up a silent one, retire an idle link."""
        quiet_ms = now_ms - self._heard_ms
        waited_ms = min(quiet_ms, self._calls.waited_ms(now_ms))
        if waited_ms > _SILENT_AFTER_MS:
            self.close(LinkEnd.SILENT)
        elif waited_ms > _PING_AFTER_MS:
            self.post(Ping(int(now_ms)))
        elif quiet_ms > _IDLE_AFTER_MS:
            self.close(LinkEnd.IDLE)

    def close(self, end: LinkEnd) -> None:
        """End the link for this reason."""
        self._end = end
        self._scope.cancel()

    def finish(self, end: LinkEnd) -> None:
        """Report every call that will get no reply."""
        unsent = set(map(id, self._outbox.take_now()))
        for call in self._calls.take_all():
            self._handlers.lost(self, call, id(call) not in unsent)
        self._handlers.ended(self, end)

    def _take(self, message: InnerMessage | None) -> None:
        self._heard_ms = self._clock()
        self._calls.note(message)
        if isinstance(message, Hello):
            end = _judge(message, self.peer)
            self.peer = message.vm
            if end is not None:
                self.close(end)
        elif isinstance(message, Ping):
            self.post(Pong(message.token))
        elif message is None:
            self.close(LinkEnd.BAD_FRAME)
        elif not isinstance(message, Pong):
            self._handlers.message(self, message)


def _judge(hello: Hello, expected: VmId | None) -> LinkEnd | None:
    if hello.version != PROTOCOL_VERSION:
        return LinkEnd.VERSION_MISMATCH
    if expected not in {None, hello.vm}:
        # Another daemon answers at the address that was dialled.
        return LinkEnd.NOT_REACHED
    return None


async def _carry(
    stream: ByteStream,
    outbox: Outbox,
    take: Callable[[InnerMessage | None], None],
    scope: anyio.CancelScope,
) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(_write, stream, outbox, scope)
        async with aclosing(read_messages(stream)) as messages:
            async for message in messages:
                take(message)
        group.cancel_scope.cancel()


async def _write(
    stream: ByteStream,
    outbox: Outbox,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            batch = await outbox.take()
            await stream.send(b''.join(map(encode_frame, pack(batch))))
    except STREAM_ENDS:
        scope.cancel()
