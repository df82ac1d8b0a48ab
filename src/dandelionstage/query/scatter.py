"""Scatters the sub-requests of one pin and gathers their replies."""

from collections.abc import Iterator
from typing import Final, final

from ..model.messages import SubReply
from ..model.topology import Snapshot
from ..model.verdict import Reason, Verdict
from .attempts import AttemptPlanner
from .dispatch import Dispatcher
from .gather import Gather
from .messages import Query, QueryCommand
from .observations import observe_completion, observe_probe, observe_reply
from .shard_progress import Attempt, ScatterProgress
from .shared_state import SharedQueryState, Tally

__all__ = ('Scatter',)

#: A timer that is later than this indicates that the process was paused.
_PAUSE_THRESHOLD_MS: Final = 100
#: How long timers are put off after a pause.
_RESUME_DELAY_MS: Final = 5

_Commands = Iterator[QueryCommand]


@final
class Scatter:
    """Sends the attempts at every shard of one pinned snapshot.

    A query that abandons its pin starts another scatter; no merged part and
    no attempt in flight carries over to it.

    :ivar gather: the parts merged so far.
    :ivar shards: the progress of each shard.
    :ivar timers: when the next hedges and retries are due.
    """

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        shared: SharedQueryState,
        tally: Tally,
    ) -> None:
        """Prepare without sending anything."""
        self.gather = Gather(snapshot)
        self.shards = ScatterProgress(snapshot)
        self._shared = shared
        self._tally = tally
        self._workload = query.workload
        self._dispatcher = Dispatcher(query, self.gather.pin, shared, tally)
        self.timers = self._dispatcher.timers
        self._planner = AttemptPlanner(
            query,
            self.shards,
            self._dispatcher,
            shared,
            tally,
        )

    def start(self, now_ms: float) -> _Commands:
        """Send the first sub-request to each shard."""
        for progress in self.shards:
            yield from self._planner.send_first(progress, now_ms)

    def receive(self, reply: SubReply, now_ms: float) -> _Commands:
        """Process the reply to an attempt; drop it if the call is unknown."""
        attempt = self._dispatcher.remove(reply.call)
        if attempt is None:
            self._tally.events[Reason.BAD_REPLY] += 1
            return
        observe_reply(reply, attempt, self.gather.pin, self._shared, now_ms)
        progress = self.shards[attempt.shard]
        progress.in_flight.pop(attempt.call, None)
        if not progress.pending:
            # Only a probe stays in flight after its shard is closed.
            self._tally.add(reply.verdict)
            observe_probe(attempt, reply.verdict, self._shared, now_ms)
            return
        verdict = self._merge(attempt, reply)
        self._tally.add(verdict)
        if verdict.reason is Reason.OK:
            yield from self._complete(attempt, now_ms)
        else:
            yield from self._planner.handle_failure(
                attempt, reply, verdict, now_ms
            )

    def wake(self, now_ms: float) -> _Commands:
        """Send the hedges and retries that are due.

        After a pause of the process, replies may have arrived that are not
        processed yet, so the timers are put off to process these first.
        """
        paused = now_ms - self.timers.next_ms() > _PAUSE_THRESHOLD_MS
        for progress in self.timers.pop_due(now_ms):
            if paused:
                self.timers.schedule(progress, now_ms + _RESUME_DELAY_MS)
            else:
                yield from self._planner.send_due(progress, now_ms)

    def cancel(self) -> _Commands:
        """Cancel every attempt that is in flight."""
        return self._dispatcher.cancel_all()

    def _merge(self, attempt: Attempt, reply: SubReply) -> Verdict:
        if reply.verdict.reason is not Reason.OK:
            return reply.verdict
        reason = Reason.BAD_REPLY
        if reply.part is not None and reply.answered_by == attempt.target.vm:
            reason = self.gather.merge(reply.part, attempt.shard)
        if reason is not Reason.OK:
            self._tally.events[reason] += 1
        return Verdict(reply.verdict.run, reason)

    def _complete(self, attempt: Attempt, now_ms: float) -> _Commands:
        """Close the shard and cancel its other attempts except probes."""
        progress = self.shards[attempt.shard]
        self.shards.close(progress)
        losers = [one for one in progress.in_flight.values() if not one.probe]
        observe_completion(
            self._workload, attempt, losers, self._shared, now_ms
        )
        yield from self._dispatcher.cancel(losers)
