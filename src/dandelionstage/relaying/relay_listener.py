"""Listener for queries that other VMs want relayed."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Final, final

from ..gateway.read_limits import ReadBudget
from ..gateway.run_context import RunContext
from ..lifecycle.resource_owner import ResourceOwner
from ..placing.deadly_requests import Verdict
from ..placing.server_ends import RequestReport
from .messages import (
    Message,
    PartsReport,
    RelayAcceptance,
    RelayCancel,
    RelayRequest,
)
from .relay_connection import RelayConnection
from .relay_run import RelayRun

__all__ = ('RelayListener',)

#: Maximum number of concurrent queries relayed for other VMs.  Each takes a
#: slow CPU core a few milliseconds, so more would be answered late.  A VM whose
#: request is refused queries the shards itself and avoids this relay for a
#: while.
_MAX_RUNS: Final = 8


@final
class RelayListener(ResourceOwner):  # noqa: WPS214 -- many short methods
    """Relays queries for other VMs and cancels those of lost connections."""

    def __init__(
        self,
        address: tuple[str, int],
        context: RunContext,
        unread_ms: Callable[[float], float],
        is_accepting: Callable[[], bool],
        budget: ReadBudget,
    ) -> None:
        """Create a listener; it opens its port on entering the context.

        :param unread_ms: returns how long data that is read at a given time may
            have been waiting in the kernel.
        :param is_accepting: returns whether this VM accepts new work.
        :param budget: bounds the messages of all connections together.
        """
        self._address = address
        self._context = context
        self._unread_ms = unread_ms
        self._is_accepting = is_accepting
        self._budget = budget
        self._runs: dict[tuple[RelayConnection, int], RelayRun] = {}
        self._connections: set[RelayConnection] = set()

    async def _open(self, stack: AsyncExitStack) -> None:
        server = await asyncio.get_running_loop().create_server(
            self._create_connection, *self._address
        )
        stack.callback(self._close_all)
        stack.callback(server.close)

    def _create_connection(self) -> RelayConnection:
        connection = RelayConnection(
            self._receive, self._handle_closed, self._budget
        )
        self._connections.add(connection)
        return connection

    def _close_all(self) -> None:
        for connection in tuple(self._connections):
            connection.close('this VM is shutting down')

    def _receive(self, connection: RelayConnection, message: Message) -> None:
        if isinstance(message, RelayRequest):
            self._start(connection, message)
        elif isinstance(message, RelayCancel):
            run = self._runs.pop((connection, message.number), None)
            if run is not None:
                run.cancel()

    def _start(
        self, connection: RelayConnection, request: RelayRequest
    ) -> None:
        now_ms = self._context.now_ms()
        run = RelayRun(
            request,
            self._unread_ms(now_ms),
            self._context,
            partial(self._report, connection),
        )
        suspicion = self._find_suspicion(run)
        has_capacity = len(self._runs) < _MAX_RUNS and self._is_accepting()
        is_taken = has_capacity and not run.is_too_late and suspicion is None
        connection.send(RelayAcceptance(request.number, is_taken, suspicion))
        if is_taken:
            self._runs[connection, request.number] = run
            run.start()
            return
        self._context.log.event(
            'relay_refused',
            request=request.request_id.decode('latin-1'),
            runs=len(self._runs),
            answer_left_ms=round(request.answer_left_ms, 1),
        )

    def _find_suspicion(self, run: RelayRun) -> RequestReport | None:
        """Return what is known of a request that is not to be sent now."""
        deadly = self._context.deadly
        now_ms = self._context.now_ms()
        if not len(deadly):
            # The usual case, in which no digest is needed.
            return None
        if deadly.verdict(run.digest, now_ms) is Verdict.UNSUSPECTED:
            return None
        return deadly.report(run.digest, now_ms)

    def _report(self, connection: RelayConnection, parts: PartsReport) -> None:
        if parts.is_last:
            self._runs.pop((connection, parts.number), None)
        connection.send(parts)

    def _handle_closed(self, connection: RelayConnection, reason: str) -> None:
        self._connections.discard(connection)
        lost = [key for key in self._runs if key[0] is connection]
        for key in lost:
            self._runs.pop(key).cancel()
