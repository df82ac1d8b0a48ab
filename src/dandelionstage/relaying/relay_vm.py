"""Client for a VM that relays queries for this one."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final, final

from ..catalog.routes import ServiceId
from ..catalog.servers import ServerId
from ..gateway.attempt import NoReply, Reply
from ..gateway.read_limits import ReadBudget
from ..gateway.relays import RelayedQuery
from ..gateway.run_context import Timer
from ..model.ids import VmId
from ..operations.events import EventLog
from ..placing.deadly_requests import DeadlyRequests
from ..spread.deadly_messages import check_request_report
from .messages import (
    Message,
    Part,
    PartsReport,
    RelayAcceptance,
    RelayCancel,
    RelayRequest,
)
from .relay_connection import RelayConnection

__all__ = ('RelayContext', 'RelayVm')

#: Time limit for accepting a request: a fraction of the time to the target,
#: within a minimum and a maximum.  A slow CPU core may be busy with another
#: query for a few milliseconds, and the time left after the limit must be
#: enough to query the servers from this VM.
_ACCEPT_FRACTION: Final = 0.25
_MIN_ACCEPT_MS: Final = 12.0
_MAX_ACCEPT_MS: Final = 40.0
#: How long a relay is avoided after a failure: about the time that a process
#: takes to restart.
_AVOIDED_MS: Final = 2000.0
#: Requests time out long before this; it only ends the kernel's connection
#: attempts.
_CONNECT_TIMEOUT_S: Final = 1.0
#: A busy relay reports the servers that it has tried within this time after the
#: target; a relay that has not reported by then counts as failed.
_REPORT_GRACE_MS: Final = 40.0
#: A connection is closed if nothing arrives on it for this long after a request
#: has timed out; a slow CPU core is not busy with queries for this long.
_SILENT_MS: Final = 200.0
_HTTP_OK: Final = 200


@final
class RelayContext:
    """Dependencies that all relays share.

    :ivar now_ms: returns the monotonic time in milliseconds.
    :ivar call_later: calls a function after a delay in milliseconds.
    :ivar log: log for failures.
    :ivar budget: bounds the messages of all connections together.
    :ivar deadly: requests under which servers ended.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], Timer],
        log: EventLog,
        budget: ReadBudget | None = None,
        deadly: DeadlyRequests | None = None,
    ) -> None:
        """Store the dependencies."""
        self.deadly = deadly or DeadlyRequests()
        self.budget = budget or ReadBudget()
        self.now_ms = now_ms
        self.call_later = call_later
        self.log = log


@final
class _PendingQuery:
    """Query that was given to the relay and has not ended.

    :ivar number: identifies the query on the connection.
    :ivar timer: time limit for the relay's next message.
    """

    __slots__ = ('number', 'query', 'timer')

    def __init__(self, number: int, query: RelayedQuery) -> None:
        self.number = number
        self.query = query
        self.timer: Timer | None = None

    def stop_timer(self) -> None:
        """Cancel the time limit for the relay's next message."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def apply_report(self, message: PartsReport) -> None:
        """Pass on the parts and the servers tried for the other shards."""
        for service, servers in message.tried.items():
            self.query.record_tried(
                ServiceId(service), map(ServerId, servers), message.is_closed
            )
        # Before the parts, as a part shows that the request is not deadly.
        self.query.record_ends(map(ServiceId, message.ended))
        self.query.record_waits(message.waits_ms)
        self.query.apply_together(lambda: self._apply_parts(message))
        if message.is_last:
            self.end(NoReply.RELAY_EMPTY)

    def end(self, reason: NoReply) -> None:
        """End all remaining attempts without a reply."""
        self.stop_timer()
        for attempt in tuple(self.query.attempts.values()):
            attempt.end(reason)

    def _apply_parts(self, message: PartsReport) -> None:
        replies = [
            (attempt, _reply_of(part))
            for part in message.parts
            if (attempt := self.query.attempts.get(ServiceId(part.shard)))
        ]
        if message.is_merged and any(each.ended for each, _ in replies):
            # The records of the others were left out because of this one's.
            return
        for attempt, reply in replies:
            attempt.end(reply)


@final
class RelayVm:  # noqa: WPS214 -- many short methods on one connection
    """Sends queries to one relay and passes on its reports.

    :ivar vm: the relay.
    :ivar avoided_until_ms: the relay is not selected before this time, because
        it failed.
    """

    def __init__(
        self, vm: VmId, address: tuple[str, int], context: RelayContext
    ):
        """Create a client; it connects with the first query.

        :param address: host and port of the relay's listener.
        """
        self.vm = vm
        self.avoided_until_ms = float('-inf')
        self._address = address
        self._context = context
        self._numbers = itertools.count()
        self._pending: dict[int, _PendingQuery] = {}
        self._unsent: list[_PendingQuery] = []
        self._connection: RelayConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._received_ms = float('-inf')

    def send_query(self, query: RelayedQuery) -> None:
        """Send a query; it fails unless the relay accepts it in time."""
        pending = _PendingQuery(next(self._numbers), query)
        self._pending[pending.number] = pending
        now_ms = self._context.now_ms()
        limit_ms = (query.schedule.answer_ms - now_ms) * _ACCEPT_FRACTION
        pending.timer = self._context.call_later(
            min(_MAX_ACCEPT_MS, max(_MIN_ACCEPT_MS, limit_ms)),
            lambda: self._time_out(pending, now_ms),
        )
        if self._connection is not None:
            self._send(pending)
            return
        self._unsent.append(pending)
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._open())

    def cancel_query(self, query: RelayedQuery) -> None:
        """Cancel a query whose result is no longer needed."""
        for pending in tuple(self._pending.values()):
            if pending.query is query:
                pending.stop_timer()
                self._pending.pop(pending.number)
                if self._connection is not None and pending not in self._unsent:
                    self._connection.send(RelayCancel(pending.number))

    def close(self) -> None:
        """Close the connection or stop opening it."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.close('this VM is shutting down')

    async def _open(self) -> None:
        connection = RelayConnection(
            self._receive, self._handle_closed, self._context.budget
        )
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self._address
                )
        except OSError as error:
            self._fail_all(repr(error))
            return
        finally:
            self._connecting = None
        self._connection = connection
        unsent = self._unsent
        self._unsent = []
        for pending in unsent:
            if pending.query.is_pending:
                self._send(pending)

    def _send(self, pending: _PendingQuery) -> None:
        assert self._connection is not None  # noqa: S101 -- callers check it
        now_ms = self._context.now_ms()
        self._connection.send(
            _make_request(pending.number, pending.query, now_ms)
        )
        for attempt in pending.query.attempts.values():
            attempt.sent_ms = now_ms

    def _receive(self, connection: RelayConnection, message: Message) -> None:
        self._received_ms = self._context.now_ms()
        if isinstance(message, RelayAcceptance):
            self._handle_acceptance(message)
        elif isinstance(message, PartsReport):
            self._handle_report(message)

    def _start_report_timer(self, pending: _PendingQuery) -> Timer:
        """Start the time limit for the relay's report on the servers tried."""
        now_ms = self._context.now_ms()
        left_ms = pending.query.schedule.answer_ms - now_ms
        return self._context.call_later(
            max(0, left_ms) + _REPORT_GRACE_MS,
            lambda: self._time_out(pending, now_ms),
        )

    def _time_out(
        self, pending: _PendingQuery, waiting_since_ms: float
    ) -> None:
        """End a query whose time limit has passed.

        The relay may only be busy, so its other queries fail only if nothing
        arrives from it for some time longer.

        :param waiting_since_ms: when the wait for the relay's message began.
        """
        if self._received_ms < waiting_since_ms:
            self._avoid('silent')
            self._context.call_later(
                _SILENT_MS, lambda: self._fail_if_silent(waiting_since_ms)
            )
        else:
            self._avoid('late')
        self.cancel_query(pending.query)
        pending.end(NoReply.BROKEN)

    def _fail_if_silent(self, since_ms: float) -> None:
        if self._received_ms < since_ms and self._connection is not None:
            self._fail_all('silent')

    def _handle_acceptance(self, acceptance: RelayAcceptance) -> None:
        pending = self._pending.get(acceptance.number)
        if pending is None:
            return
        pending.stop_timer()
        if acceptance.is_taken:
            pending.timer = self._start_report_timer(pending)
        else:
            self._handle_refusal(acceptance)
            self._pending.pop(acceptance.number)
            for attempt in pending.query.attempts.values():
                attempt.sent_ms = None
            pending.end(NoReply.WITHDRAWN)

    def _handle_refusal(self, acceptance: RelayAcceptance) -> None:
        """Avoid the relay, unless it refused because of the request."""
        suspicion = acceptance.suspicion
        if suspicion is None:
            self._avoid('refused')
            return
        try:
            check_request_report(suspicion)
        except ValueError as error:
            self._avoid(str(error))
            return
        self._context.deadly.apply_reports((suspicion,), self._context.now_ms())

    def _handle_report(self, message: PartsReport) -> None:
        pending = self._pending.get(message.number)
        if pending is None:
            return
        if message.is_closed:
            pending.stop_timer()
        if message.is_last:
            self._pending.pop(message.number)
        pending.apply_report(message)

    def _handle_closed(self, connection: RelayConnection, reason: str) -> None:
        self._connection = None
        if self._pending:
            self._fail_all(reason)

    def _fail_all(self, reason: str) -> None:
        """Fail all pending queries.

        The relay may have sent those that it received to servers, so their
        attempts stay marked as sent.
        """
        self._avoid(reason)
        lost = tuple(self._pending.values())
        self._pending.clear()
        self._unsent.clear()
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(reason)
        for pending in lost:
            pending.end(NoReply.BROKEN)

    def _avoid(self, reason: str) -> None:
        """Avoid the relay for a while and log the reason."""
        self.avoided_until_ms = self._context.now_ms() + _AVOIDED_MS
        self._context.log.event(
            'relay_failed', peer=self.vm, reason=reason, out=len(self._pending)
        )


def _make_request(
    number: int, query: RelayedQuery, now_ms: float
) -> RelayRequest:
    request = query.request
    gather = query.route.gather
    assert gather is not None  # noqa: S101 -- only gathered queries are relayed
    return RelayRequest(
        number=number,
        method=request.method,
        target=request.target,
        host=request.host,
        headers=request.headers,
        body=request.body,
        request_id=request.request_id,
        route=query.route.name,
        attempts=query.route.attempts,
        shards=[
            service
            for service, attempt in query.attempts.items()
            if not attempt.ended
        ],
        record_count=gather.record_count,
        least_coverage=gather.least_coverage,
        answer_left_ms=query.schedule.answer_ms - now_ms,
        left_ms=query.schedule.deadline_ms - now_ms,
        takes_merged=True,
    )


def _reply_of(part: Part) -> Reply:
    return Reply(_HTTP_OK, (), part.records, part.stamp, ran=True)
