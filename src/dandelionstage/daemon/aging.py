"""Takes a pause of the process off the time left to calls read after it."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final, final

import anyio

from ..inner.link import Link
from ..inner.messages import InnerMessage
from ..lifecycle.pause_detector import PauseDetector
from ..model.messages import ActionCall, SubRequest

__all__ = ('Aging',)

_BEAT_S: Final = 0.05
#: A gap between two beats above this counts as a pause.
_PAUSE_MS: Final = 250


@final
class Aging:
    """Stands before whoever takes the messages of peers."""

    def __init__(
        self,
        take: Callable[[Link, InnerMessage], None],
        clock: Callable[[], float],
    ) -> None:
        """Pass messages on to ``take``."""
        self._take = take
        self._clock = clock
        self._pause = PauseDetector(_PAUSE_MS)

    def take(self, link: Link, message: InnerMessage) -> None:
        """Pass a message on; a call with no time left starts nothing."""
        if isinstance(message, SubRequest | ActionCall):
            unread_ms = self._pause.unread_ms(self._clock())
            if unread_ms:
                left_ms = message.remaining_ms - unread_ms
                message = replace(message, remaining_ms=left_ms)
        self._take(link, message)

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            self._pause.beat(self._clock())
            await anyio.sleep(_BEAT_S)
