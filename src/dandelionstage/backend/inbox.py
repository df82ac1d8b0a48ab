"""The one place for the next exchange of a connection's task."""

from typing import Any, final

import anyio

from .exchange import Exchange

__all__ = ('Inbox',)


@final
class Inbox:
    """Holds at most one exchange, which stays until it has ended.

    :ivar closed: nothing more will be put in.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.closed = False
        self.exchange: Exchange[Any] | None = None
        self._wake = anyio.Event()

    def put(self, exchange: Exchange[Any]) -> None:
        """Hand over the next exchange; the last one must have ended."""
        self.exchange = exchange
        self._wake.set()

    def close(self) -> None:
        """Let the task end, after the exchange at hand if there is one."""
        self.closed = True
        self._wake.set()

    async def next(self) -> Exchange[Any] | None:
        """Wait for an exchange; ``None`` once closed and empty."""
        if self.exchange is None and not self.closed:
            self._wake = anyio.Event()
            await self._wake.wait()
        return self.exchange
