"""Says how long to wait for a shard before a hedge is worth its load."""

from typing import Final, final

from ..model.ids import ShardId, WorkloadId
from .answer_time_window import AnswerTimeWindow

__all__ = ('HedgeDelays',)

#: Answer times kept for one shard, and for one workload.
_SHARD_SAMPLES: Final = 64
_WORKLOAD_SAMPLES: Final = 512
_SHARD_QUANTILE: Final = 0.95
#: Low enough that a few slow shards do not set the workload's figure.
_WORKLOAD_QUANTILE: Final = 0.9
#: A shard may be this many times slower than its workload before the
#: workload's figure counts: a shard with one slow replica must not hide it.
_SHARD_TO_WORKLOAD: Final = 2
_DEFAULT_MS: Final = 50
_LEAST_MS: Final = 1


@final
class HedgeDelays:
    """The time by which 95 of 100 answers of a shard have come.

    Hedging after that quantile bounds the extra load to about 5% (Dean and
    Barroso, "The Tail at Scale", 2013).  The quantile is exact over the last
    answers, as an estimate from a decaying histogram reacts too slowly to a
    replica that has just become slow.
    """

    def __init__(self) -> None:
        """Start without any answer seen."""
        self._shards: dict[tuple[WorkloadId, ShardId], AnswerTimeWindow] = {}
        self._workloads: dict[WorkloadId, AnswerTimeWindow] = {}

    def observe(
        self,
        workload: WorkloadId,
        shard: ShardId,
        elapsed_ms: float,
    ) -> None:
        """Take in the time one attempt at a shard took to be answered."""
        key = (workload, shard)
        window = self._shards.get(key)
        if window is None:
            window = self._shards.setdefault(
                key, AnswerTimeWindow(_SHARD_SAMPLES)
            )
        window.add(elapsed_ms)
        whole = self._workloads.get(workload)
        if whole is None:
            whole = AnswerTimeWindow(_WORKLOAD_SAMPLES)
            self._workloads[workload] = whole
        whole.add(elapsed_ms)

    def delay_ms(self, workload: WorkloadId, shard: ShardId) -> float:
        """Return how long to wait for this shard before a hedge."""
        whole_ms = self.typical_ms(workload)
        window = self._shards.get((workload, shard))
        shard_ms = window.quantile_ms(_SHARD_QUANTILE) if window else None
        if shard_ms is None:
            return whole_ms
        return max(_LEAST_MS, min(shard_ms, whole_ms * _SHARD_TO_WORKLOAD))

    def typical_ms(self, workload: WorkloadId) -> float:
        """Return the time by which most shards of a workload answer."""
        whole = self._workloads.get(workload)
        whole_ms = whole.quantile_ms(_WORKLOAD_QUANTILE) if whole else None
        return _DEFAULT_MS if whole_ms is None else max(_LEAST_MS, whole_ms)
