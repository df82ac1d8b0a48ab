"""Passes exchanges to the task of a connection, one at a time."""

from typing import Any, final

import anyio

from .exchange import Exchange

__all__ = ('Inbox',)


@final
class Inbox:
    """Holds at most one exchange, which stays until it has a result.

    :ivar closed: whether no further exchange may be put in.
    """

    def __init__(self) -> None:
        """Create an empty inbox."""
        self.closed = False
        self.exchange: Exchange[Any] | None = None
        self._wake = anyio.Event()

    def put(self, exchange: Exchange[Any]) -> None:
        """Put in the next exchange; the previous one must have a result."""
        self.exchange = exchange
        self._wake.set()

    def close(self) -> None:
        """Let the task end after its current exchange, if there is one."""
        self.closed = True
        self._wake.set()

    async def next(self) -> Exchange[Any] | None:
        """Wait for an exchange; return ``None`` once closed and empty."""
        if self.exchange is None and not self.closed:
            self._wake = anyio.Event()
            await self._wake.wait()
        return self.exchange
