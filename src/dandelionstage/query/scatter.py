"""One scatter and gather under one pin."""

from collections.abc import Iterator
from typing import final

from ..model.messages import SubReply
from ..model.topology import Snapshot
from ..model.verdict import Reason, Verdict
from .attempts import Attempts
from .dispatch import Dispatch
from .gather import Gather
from .messages import Query, QueryCommand
from .shard import Attempt, Shards
from .tools import QueryTools, Tally

__all__ = ('Scatter',)

_Commands = Iterator[QueryCommand]


@final
class Scatter:
    """The attempts at every shard of one pinned snapshot.

    A query that gives up its pin starts another scatter; nothing merged and
    no call that is out carries over to it.

    :ivar gather: the parts merged so far.
    :ivar shards: what is still open.
    """

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        tools: QueryTools,
        tally: Tally,
    ) -> None:
        """Prepare without sending anything."""
        self.gather = Gather(snapshot)
        self.shards = Shards(snapshot)
        self._tools = tools
        self._tally = tally
        self._dispatch = Dispatch(query, self.gather.pin, tools, tally)
        self._attempts = Attempts(
            query,
            self.shards,
            self._dispatch,
            tools,
            tally,
        )

    def start(self, now_ms: float) -> _Commands:
        """Send the first sub-request of each shard."""
        for progress in self.shards:
            yield from self._attempts.begin(progress, now_ms)

    def receive(self, reply: SubReply, now_ms: float) -> _Commands:
        """Take in the end of an attempt; an unknown one is dropped."""
        attempt = self._dispatch.end(reply.call)
        if attempt is None:
            self._tally.events[Reason.BAD_REPLY] += 1
            return
        self._tools.learn(reply, now_ms)
        self.shards[attempt.shard].out.pop(attempt.call)
        verdict = self._merge(attempt, reply)
        self._tally.add(verdict)
        if verdict.reason is Reason.OK:
            yield from self._attempts.settle(attempt, now_ms)
        else:
            yield from self._attempts.move_on(attempt, reply, verdict, now_ms)

    def wake(self, now_ms: float) -> _Commands:
        """Send the hedges and retries that are due."""
        for progress in self._dispatch.timers.pop_due(now_ms):
            yield from self._attempts.add(progress, now_ms)

    def next_wakeup_ms(self) -> float:
        """Return when the next hedge or retry is due, else infinity."""
        return self._dispatch.timers.next_ms()

    def cancel(self) -> _Commands:
        """Give up every attempt that is out."""
        return self._dispatch.cancel_all()

    def _merge(self, attempt: Attempt, reply: SubReply) -> Verdict:
        if reply.verdict.reason is not Reason.OK:
            return reply.verdict
        fault = Reason.BAD_REPLY
        if reply.part is not None and reply.answered_by == attempt.target.vm:
            fault = self.gather.merge(reply.part, attempt.shard)
        if fault is not Reason.OK:
            self._tally.events[fault] += 1
        return Verdict(reply.verdict.run, fault)
