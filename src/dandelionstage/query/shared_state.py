"""Holds the state shared by all queries and the tally of each query."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import final

from ..model.ids import CallId, WorkloadId
from ..model.topology import Workload
from ..model.verdict import Reason, Run, Verdict, combine_verdicts
from ..retries.answer_times import AnswerTimes
from ..retries.budget import RetryBudgets
from ..retries.hedging import HedgeDelays
from ..retries.owner_liveness import OwnerLiveness
from .held_snapshots import HeldSnapshots
from .messages import Route

__all__ = ('SharedQueryState', 'Tally')


@final
@dataclass(frozen=True, slots=True)
class SharedQueryState:
    """The state shared by all queries of a daemon, created at its start.

    :ivar route: ranks the owners of a shard.
    :ivar workload_of: returns the workload as currently published, ``None``
        if it is not published.
    :ivar new_call: returns a call id that no other process and no earlier run
        of this one has used.
    :ivar random: source of the backoff's jitter.
    :ivar held_snapshots: the snapshots that backend servers reported.
    :ivar retry_budgets: the retry budget of each customer.
    :ivar hedge_delays: how long to wait for a shard before a hedge.
    :ivar owners: reply times of each owner, to detect unresponsive ones.
    :ivar answer_times: average answer times by shard and data centre.
    """

    route: Route
    workload_of: Callable[[WorkloadId], Workload | None]
    new_call: Callable[[], CallId]
    random: Random
    held_snapshots: HeldSnapshots = field(default_factory=HeldSnapshots)
    retry_budgets: RetryBudgets = field(default_factory=RetryBudgets)
    hedge_delays: HedgeDelays = field(default_factory=HedgeDelays)
    owners: OwnerLiveness = field(default_factory=OwnerLiveness)
    answer_times: AnswerTimes = field(default_factory=AnswerTimes)


@final
class Tally:
    """Counts the sub-requests and events of one query under all its pins.

    :ivar events: counts of retries by reason, hedges (including probes),
        attempts denied by the retry budget, and dropped replies.
    :ivar primaries: first sub-requests under the first pin.
    :ivar sent: all sub-requests.
    :ivar combined_verdict: the combined verdicts of all attempts.
    :ivar last_refusal: why the latest attempt failed or was cancelled, or
        the latest shard was given up; at first ``DEADLINE_EXPIRED``.
    :ivar retry_after_ms: the longest retry delay requested by a reply.
    """

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.events: Counter[Reason] = Counter()
        self.primaries = 0
        self.sent = 0
        self.combined_verdict = Verdict(Run.NOT_RUN, Reason.NO_REPLICA)
        self.last_refusal = Reason.DEADLINE_EXPIRED
        self.retry_after_ms = 0

    @property
    def extra_load(self) -> int:
        """Sub-requests sent beyond the first one to each shard."""
        return self.sent - self.primaries

    def count_primaries(self) -> None:
        """Count the sub-requests sent so far, except probes, as primaries.

        To be called before any hedge is sent.
        """
        self.primaries = self.sent - self.events[Reason.HEDGED]

    def add(self, verdict: Verdict) -> None:
        """Add the verdict of one attempt."""
        self.combined_verdict = combine_verdicts(self.combined_verdict, verdict)
        if verdict.reason is not Reason.OK:
            self.last_refusal = verdict.reason
        self.retry_after_ms = max(self.retry_after_ms, verdict.retry_after_ms)
