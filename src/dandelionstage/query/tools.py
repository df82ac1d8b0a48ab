"""What the queries of one daemon share."""

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
from .held import HeldSnapshots
from .messages import Route

__all__ = ('QueryTools', 'Tally')


@final
@dataclass(frozen=True, slots=True)
class QueryTools:
    """What the queries of one daemon share; made once at its start.

    :ivar route: ranks the owners of a shard.
    :ivar workload_of: the published workload as it stands now.
    :ivar new_call: call ids that no other process and no earlier start of
        this one ever used.
    """

    route: Route
    workload_of: Callable[[WorkloadId], Workload | None]
    new_call: Callable[[], CallId]
    random: Random
    held: HeldSnapshots = field(default_factory=HeldSnapshots)
    budgets: RetryBudgets = field(default_factory=RetryBudgets)
    delays: HedgeDelays = field(default_factory=HedgeDelays)
    owners: OwnerLiveness = field(default_factory=OwnerLiveness)
    times: AnswerTimes = field(default_factory=AnswerTimes)


@final
class Tally:
    """What one query has cost so far, over all its pins.

    :ivar primaries: first sub-requests under the first pin.
    :ivar sent: all sub-requests.
    :ivar worst: the verdicts of all attempts joined.
    """

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.events: Counter[Reason] = Counter()
        self.primaries = 0
        self.sent = 0
        self.worst = Verdict(Run.NOT_RUN, Reason.NO_REPLICA)
        self.last_refusal = Reason.DEADLINE_EXPIRED
        self.retry_after_ms = 0

    @property
    def extra_load(self) -> int:
        """Sub-requests sent beyond the first one to each shard."""
        return self.sent - self.primaries

    def count_primaries(self) -> None:
        """Take what was sent so far, but for hedges, as primaries."""
        self.primaries = self.sent - self.events[Reason.HEDGED]

    def add(self, verdict: Verdict) -> None:
        """Join in the verdict of one attempt."""
        self.worst = combine_verdicts(self.worst, verdict)
        if verdict.reason is not Reason.OK:
            self.last_refusal = verdict.reason
        self.retry_after_ms = max(self.retry_after_ms, verdict.retry_after_ms)
