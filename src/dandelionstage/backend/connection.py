"""Runs the task of one connection to a backend server."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, final

import anyio

from ..model.topology import BackendServer
from ..model.verdict import Reason
from .exchange import Exchange, NoReply, Reply
from .http_connection import HttpConnection, open_http_connection
from .inbox import Inbox
from .limits import ConnectionLimits, now_ms

__all__ = ('Connection',)


@final
class Connection:
    """A connection that carries one exchange at a time.

    Only its own task uses the socket; other tasks put exchanges into the
    inbox.

    :ivar last_reply_at_ms: monotonic time of the last valid reply, or of
        creation if there was none.
    :ivar inbox: receives the next exchange; a connection whose inbox is
        closed ends after its current exchange.
    """

    def __init__(
        self,
        server: BackendServer,
        limits: ConnectionLimits,
        on_idle_or_closed: Callable[['Connection'], None],
    ) -> None:
        """Create a connection, which is opened for its first exchange.

        :param on_idle_or_closed: called when the connection becomes idle and
            once more when it has ended.
        """
        self.last_reply_at_ms = now_ms()
        self._server = server
        self._limits = limits
        self._on_idle_or_closed = on_idle_or_closed
        self._http_connection: HttpConnection | None = None
        self.inbox = Inbox()
        self._scope = anyio.CancelScope()
        self._has_replied = False

    @property
    def is_usable(self) -> bool:
        """Whether the connection can carry another exchange."""
        if self.inbox.closed or self._http_connection is None:
            return False
        return self._http_connection.is_usable

    async def run(self) -> None:
        """Open the connection, carry exchanges until it ends, and close it."""
        try:  # noqa: WPS501 -- report the end, also on errors
            with self._scope:
                await self._serve_exchanges()
        finally:
            self._finish()

    def abort(self) -> None:
        """Close the connection at once, even during an exchange."""
        self._scope.cancel()

    async def _serve_exchanges(self) -> None:
        exchange = await self.inbox.next()
        if exchange is None:
            return
        http_connection = await open_http_connection(
            self._server, self._limits, exchange.deadline_ms
        )
        if isinstance(http_connection, NoReply):
            exchange.fail(http_connection)
            return
        self._http_connection = http_connection
        async with http_connection:
            while exchange:
                result = await http_connection.post(exchange)
                self.inbox.exchange = None
                if not _finish_exchange(
                    exchange, result, has_replied=self._has_replied
                ):
                    return
                if isinstance(result, Reply):
                    self._has_replied = True
                    self.last_reply_at_ms = now_ms()
                if not self.inbox.closed:
                    self._on_idle_or_closed(self)
                exchange = await self.inbox.next()

    def _finish(self) -> None:
        self.inbox.close()
        if self.inbox.exchange is not None:
            # Cancelled during an exchange: the request may have run.
            self.inbox.exchange.fail(
                NoReply(Reason.CONNECTION_LOST, now_ms(), 'closed'),
            )
        self._on_idle_or_closed(self)


def _finish_exchange(
    exchange: Exchange[Any],
    result: Reply | NoReply,
    *,
    has_replied: bool,
) -> bool:
    """Complete or fail an exchange with the result of its request.

    :param has_replied: whether the connection had a valid reply before; a
        timeout is then attributed to the connection, not to the server.
    :returns: whether the connection can be used again.
    """
    if isinstance(result, Reply):
        return exchange.complete(now_ms() - result.service_ms, result)
    sent = result.sent_at_ms is not None
    if sent and has_replied and result.reason is Reason.DEADLINE_EXPIRED:
        result = replace(result, reason=Reason.CONNECTION_SILENT)
    exchange.fail(result)
    return not sent
