"""The task that owns one connection to a backend server."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, final

import anyio

from ..model.topology import BackendServer
from ..model.verdict import Reason
from .exchange import Exchange, NoReply, Reply
from .inbox import Inbox
from .limits import ConnectionLimits, now_ms
from .line import Line, open_line

__all__ = ('Connection',)


@final
class Connection:
    """One connection, opened for its first exchange and used by turns.

    Only its own task touches the socket; others hand it exchanges.

    :ivar proved_at_ms: when it last proved that it works.
    :ivar inbox: where the next exchange is put; closed once retired.
    """

    def __init__(
        self,
        server: BackendServer,
        limits: ConnectionLimits,
        on_rest: Callable[['Connection'], None],
    ) -> None:
        """Prepare a connection; it is opened for its first exchange.

        :param on_rest: called whenever the connection has nothing to do,
            the last time when it is closed.
        """
        self.proved_at_ms = now_ms()
        self._server = server
        self._limits = limits
        self._on_rest = on_rest
        self._line: Line | None = None
        self.inbox = Inbox()
        self._scope = anyio.CancelScope()
        self._is_proved = False

    @property
    def is_usable(self) -> bool:
        """Whether it may take a next exchange."""
        if self.inbox.closed or self._line is None:
            return False
        return self._line.is_usable

    async def run(self) -> None:
        """Open, serve exchanges until retired, and close."""
        try:  # noqa: WPS501 -- the pool must hear of the end, errors pass
            with self._scope:
                await self._work()
        finally:
            self._end()

    def abort(self) -> None:
        """Close at once, in the middle of an exchange too."""
        self._scope.cancel()

    async def _work(self) -> None:
        exchange = await self.inbox.next()
        if exchange is None:
            return
        line = await open_line(self._server, self._limits, exchange.deadline_ms)
        if isinstance(line, NoReply):
            exchange.lose(line)
            return
        self._line = line
        async with line:
            while exchange:
                transfer = await line.post(exchange)
                self.inbox.exchange = None
                if not _settle(exchange, transfer, is_proved=self._is_proved):
                    return
                if isinstance(transfer, Reply):
                    self._is_proved = True
                    self.proved_at_ms = now_ms()
                if not self.inbox.closed:
                    self._on_rest(self)
                exchange = await self.inbox.next()

    def _end(self) -> None:
        self.inbox.close()
        if self.inbox.exchange is not None:
            # Cancelled in mid-exchange: nobody knows how far it came.
            self.inbox.exchange.lose(
                NoReply(Reason.CONNECTION_LOST, now_ms(), 'closed'),
            )
        self._on_rest(self)


def _settle(
    exchange: Exchange[Any],
    transfer: Reply | NoReply,
    *,
    is_proved: bool,
) -> bool:
    """Pass the end on; ``False`` if the connection cannot be trusted.

    :param is_proved: replies came on this connection before, so a silence is
        not held against the server.
    """
    if isinstance(transfer, Reply):
        return exchange.settle(now_ms() - transfer.service_ms, transfer)
    sent = transfer.sent_at_ms is not None
    if sent and is_proved and transfer.reason is Reason.DEADLINE_EXPIRED:
        transfer = replace(transfer, reason=Reason.CONNECTION_SILENT)
    exchange.lose(transfer)
    return not sent
