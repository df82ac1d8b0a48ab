"""A VM that relays for this one, and what is asked of it."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final, final

from ..catalog.routes import ServiceId
from ..catalog.servers import ServerId
from ..gateway.attempt import NoReply, Reply
from ..gateway.relays import RelayedQuery
from ..gateway.run_context import Timer
from ..model.ids import VmId
from ..operations.events import EventLog
from .link import RelayLink
from .messages import Ask, Drop, Message, Part, Parts, Taken

__all__ = ('RelayVm', 'RelayTools')

#: A VM that runs says within this part of the time to the target that it has
#: taken the shards, and within these bounds: a small core may be at work on
#: another query for some milliseconds, and what is left must be enough to ask
#: servers from here.
_TAKEN_FRACTION: Final = 0.25
_TAKEN_LEAST_MS: Final = 12.0
_TAKEN_MOST_MS: Final = 40.0
#: A VM that failed to take shards is not asked for this long: about as long as
#: a process takes to be started again.
_AVOIDED_MS: Final = 2000.0
#: Long after it was given up; this only ends the kernel's attempts.
_CONNECT_TIMEOUT_S: Final = 1.0
#: A VM that is busy says what it has tried so long after the target; one that
#: says nothing then has failed.
_WORD_MS: Final = 40.0
#: A connection on which nothing has come for this long after a question that
#: was not answered is closed: longer than a small core is busy with queries.
_SILENT_MS: Final = 200.0
_OK: Final = 200


@final
class RelayTools:
    """What all VMs that relay are asked with.

    :ivar call_later: runs something after so many milliseconds.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        call_later: Callable[[float, Callable[[], None]], Timer],
        log: EventLog,
    ) -> None:
        """Take what is shared."""
        self.now_ms = now_ms
        self.call_later = call_later
        self.log = log


@final
class _Asked:
    """A query that a VM was asked to take a part of."""

    __slots__ = ('number', 'query', 'timer')

    def __init__(self, number: int, query: RelayedQuery) -> None:
        self.number = number
        self.query = query
        self.timer: Timer | None = None

    def stop_timer(self) -> None:
        """Wait no longer for the word that is due."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def take(self, message: Parts) -> None:
        """Take in parts and what was tried for others."""
        for service, servers in message.tried.items():
            self.query.record_tried(
                ServiceId(service), map(ServerId, servers), message.is_closed
            )
        for part in message.parts:
            attempt = self.query.attempts.get(ServiceId(part.shard))
            if attempt is not None:
                attempt.end(_reply_of(part))
        if message.is_last:
            self.end(NoReply.RELAY_EMPTY)

    def end(self, loss: NoReply) -> None:
        """Lose what is still waited for."""
        self.stop_timer()
        for attempt in tuple(self.query.attempts.values()):
            attempt.end(loss)


@final
class RelayVm:  # noqa: WPS214 -- one VM's connection and what is out on it
    """One VM that relays.

    :ivar avoided_until_ms: not asked before then, as it failed.
    """

    def __init__(self, vm: VmId, port: tuple[str, int], tools: RelayTools):
        """Start without a connection."""
        self.vm = vm
        self.avoided_until_ms = float('-inf')
        self._port = port
        self._tools = tools
        self._numbers = itertools.count()
        self._asked: dict[int, _Asked] = {}
        self._waiting: list[_Asked] = []
        self._link: RelayLink | None = None
        self._opening: asyncio.Task[None] | None = None
        self._heard_ms = float('-inf')

    def ask(self, query: RelayedQuery) -> None:
        """Have it ask the shards; given up unless it soon says it does."""
        asked = _Asked(next(self._numbers), query)
        self._asked[asked.number] = asked
        now_ms = self._tools.now_ms()
        patience_ms = (query.schedule.answer_ms - now_ms) * _TAKEN_FRACTION
        asked.timer = self._tools.call_later(
            min(_TAKEN_MOST_MS, max(_TAKEN_LEAST_MS, patience_ms)),
            lambda: self._miss(asked, now_ms),
        )
        if self._link is not None:
            self._send(asked)
            return
        self._waiting.append(asked)
        if self._opening is None:
            loop = asyncio.get_running_loop()
            self._opening = loop.create_task(self._open())

    def drop(self, query: RelayedQuery) -> None:
        """Tell it that nobody waits any more."""
        for asked in tuple(self._asked.values()):
            if asked.query is query:
                asked.stop_timer()
                self._asked.pop(asked.number)
                if self._link is not None and asked not in self._waiting:
                    self._link.send(Drop(asked.number))

    def close(self) -> None:
        """Use the connection no longer."""
        if self._opening is not None:
            self._opening.cancel()
        if self._link is not None:
            self._link.close('this VM stops')

    async def _open(self) -> None:
        link = RelayLink(self._receive, self._lose)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(
                    lambda: link, *self._port
                )
        except OSError as fault:
            self._give_up(repr(fault))
            return
        finally:
            self._opening = None
        self._link = link
        waiting = self._waiting
        self._waiting = []
        for asked in waiting:
            if asked.query.is_pending:
                self._send(asked)

    def _send(self, asked: _Asked) -> None:
        assert self._link is not None  # noqa: S101 -- checked by the callers
        now_ms = self._tools.now_ms()
        self._link.send(_ask_of(asked.number, asked.query, now_ms))
        for attempt in asked.query.attempts.values():
            attempt.sent_ms = now_ms

    def _receive(self, link: RelayLink, message: Message) -> None:
        self._heard_ms = self._tools.now_ms()
        if isinstance(message, Taken):
            self._note_taken(message)
        elif isinstance(message, Parts):
            self._take_parts(message)

    def _expect_word(self, asked: _Asked) -> Timer:
        """Give a query up when its relay does not say what it has tried."""
        now_ms = self._tools.now_ms()
        left_ms = asked.query.schedule.answer_ms - now_ms
        return self._tools.call_later(
            max(0, left_ms) + _WORD_MS, lambda: self._miss(asked, now_ms)
        )

    def _miss(self, asked: _Asked, asked_ms: float) -> None:
        """Wait no longer for word on a query.

        The VM may only be busy; what else is out there is lost with it when
        its silence lasts.
        """
        if self._heard_ms < asked_ms:
            self._avoid('silent')
            self._tools.call_later(
                _SILENT_MS, lambda: self._end_if_silent(asked_ms)
            )
        else:
            self._avoid('late')
        self.drop(asked.query)
        asked.end(NoReply.BROKEN)

    def _end_if_silent(self, since_ms: float) -> None:
        if self._heard_ms < since_ms and self._link is not None:
            self._give_up('silent')

    def _note_taken(self, taken: Taken) -> None:
        asked = self._asked.get(taken.number)
        if asked is None:
            return
        asked.stop_timer()
        if taken.is_taken:
            asked.timer = self._expect_word(asked)
        else:
            self._avoid('refused')
            self._asked.pop(taken.number)
            for attempt in asked.query.attempts.values():
                attempt.sent_ms = None
            asked.end(NoReply.WITHDRAWN)

    def _take_parts(self, message: Parts) -> None:
        asked = self._asked.get(message.number)
        if asked is None:
            return
        if message.is_closed:
            asked.stop_timer()
        if message.is_last:
            self._asked.pop(message.number)
        asked.take(message)

    def _lose(self, link: RelayLink, reason: str) -> None:
        self._link = None
        if self._asked:
            self._give_up(reason)

    def _give_up(self, reason: str) -> None:
        """Lose all that is out; servers may have been sent to."""
        self._avoid(reason)
        lost = tuple(self._asked.values())
        self._asked.clear()
        self._waiting.clear()
        link = self._link
        self._link = None
        if link is not None:
            link.close(reason)
        for asked in lost:
            asked.end(NoReply.BROKEN)

    def _avoid(self, reason: str) -> None:
        self.avoided_until_ms = self._tools.now_ms() + _AVOIDED_MS
        self._tools.log.event(
            'relay_failed', peer=self.vm, reason=reason, out=len(self._asked)
        )


def _ask_of(number: int, query: RelayedQuery, now_ms: float) -> Ask:
    request = query.request
    gather = query.route.gather
    assert gather is not None  # noqa: S101 -- only such queries are divided
    return Ask(
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
    )


def _reply_of(part: Part) -> Reply:
    return Reply(_OK, (), part.records, part.stamp, ran=True)
