"""Messages that wait to be written, and calls that wait for a reply."""

from collections import deque
from typing import Final, final

import anyio

from ..model.messages import ActionCall, ActionOutcome, SubReply, SubRequest
from .messages import Hello, InnerMessage

__all__ = ('CallMessage', 'OpenCalls', 'Outbox')

#: A message that the peer answers with one reply.
CallMessage = SubRequest | ActionCall

_MAX_OUTBOX_MESSAGES: Final = 20_000


@final
class Outbox:
    """A bounded queue between those who post and the writing task."""

    def __init__(self, greeting: Hello) -> None:
        """Start with the greeting in front of everything."""
        self._messages: deque[InnerMessage] = deque((greeting,))
        self._ready = anyio.Event()

    def put(self, message: InnerMessage) -> bool:
        """Queue a message; false when the queue is full."""
        if len(self._messages) >= _MAX_OUTBOX_MESSAGES:
            return False
        self._messages.append(message)
        self._ready.set()
        return True

    async def take(self) -> tuple[InnerMessage, ...]:
        """Wait for messages and take all there are."""
        if not self._messages:
            self._ready = anyio.Event()
            await self._ready.wait()
        return self.take_now()

    def take_now(self) -> tuple[InnerMessage, ...]:
        """Take what is there without waiting."""
        batch = tuple(self._messages)
        self._messages.clear()
        return batch


@final
class OpenCalls:
    """The calls that wait for a reply, oldest first."""

    def __init__(self) -> None:
        """Start with none."""
        self._calls: dict[str, tuple[CallMessage, float]] = {}

    def open(self, call: CallMessage, now_ms: float) -> None:
        """Wait for the reply to this call."""
        self._calls[call.call] = (call, now_ms)

    def note(self, message: InnerMessage | None) -> None:
        """Close the call that a reply ends; a second one changes nothing."""
        if isinstance(message, SubReply | ActionOutcome):
            self._calls.pop(message.call, None)

    def waited_ms(self, now_ms: float) -> float:
        """How long the oldest call has waited, 0 when none waits."""
        oldest = next(iter(self._calls.values()), None)
        return 0 if oldest is None else now_ms - oldest[1]

    def take_all(self) -> tuple[CallMessage, ...]:
        """Give up all calls."""
        calls = tuple(call for call, _ in self._calls.values())
        self._calls.clear()
        return calls
