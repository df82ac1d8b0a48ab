"""One scatter and gather under one pin."""

from collections.abc import Iterator
from typing import Final, final

from ..model.messages import SubReply
from ..model.topology import Snapshot
from ..model.verdict import Reason, Verdict
from .attempts import Attempts
from .dispatch import Dispatch
from .gather import Gather
from .observations import learn_from, learn_probe, learn_times
from .messages import Query, QueryCommand
from .shard_progress import Attempt, Shards
from .shared_state import SharedQueryState, Tally

__all__ = ('Scatter',)

#: A timer this late means that the process was paused.
_PAUSE_MS: Final = 100
_AFTER_PAUSE_MS: Final = 5

_Commands = Iterator[QueryCommand]


@final
class Scatter:
    """The attempts at every shard of one pinned snapshot.

    A query that gives up its pin starts another scatter; nothing merged and
    no call that is out carries over to it.

    :ivar gather: the parts merged so far.
    :ivar shards: what is still open.
    :ivar timers: when the next hedges and retries are due.
    """

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        tools: SharedQueryState,
        tally: Tally,
    ) -> None:
        """Prepare without sending anything."""
        self.gather = Gather(snapshot)
        self.shards = Shards(snapshot)
        self._tools = tools
        self._tally = tally
        self._workload = query.workload
        self._dispatch = Dispatch(query, self.gather.pin, tools, tally)
        self.timers = self._dispatch.timers
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
        learn_from(reply, attempt, self.gather.pin, self._tools, now_ms)
        progress = self.shards[attempt.shard]
        progress.out.pop(attempt.call, None)
        if not progress.open:
            self._tally.add(reply.verdict)
            learn_probe(attempt, reply.verdict, self._tools, now_ms)
            return
        verdict = self._merge(attempt, reply)
        self._tally.add(verdict)
        if verdict.reason is Reason.OK:
            yield from self._settle(attempt, now_ms)
        else:
            yield from self._attempts.move_on(attempt, reply, verdict, now_ms)

    def wake(self, now_ms: float) -> _Commands:
        """Send the hedges and retries that are due.

        After a pause of the process the replies may be waiting unread, so
        nothing is started before they had time to be taken in.
        """
        paused = now_ms - self.timers.next_ms() > _PAUSE_MS
        for progress in self.timers.pop_due(now_ms):
            if paused:
                self.timers.plan(progress, now_ms + _AFTER_PAUSE_MS)
            else:
                yield from self._attempts.add(progress, now_ms)

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

    def _settle(self, attempt: Attempt, now_ms: float) -> _Commands:
        """Cancel the attempts that lost to this one, but for a probe."""
        progress = self.shards[attempt.shard]
        self.shards.close(progress)
        losers = [one for one in progress.out.values() if not one.probe]
        learn_times(self._workload, attempt, losers, self._tools, now_ms)
        yield from self._dispatch.cancel(losers)
