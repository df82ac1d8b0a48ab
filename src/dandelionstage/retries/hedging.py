"""Computes how long to wait for a shard before sending a hedge."""

from typing import Final, final

from ..model.ids import ShardId, WorkloadId
from .answer_time_window import AnswerTimeWindow

__all__ = ('HedgeDelays',)

#: Number of answer times kept for one shard.
_SHARD_SAMPLES: Final = 64
#: Number of answer times kept for one workload.
_WORKLOAD_SAMPLES: Final = 512
_SHARD_QUANTILE: Final = 0.95
#: Low enough that a few slow shards do not determine the workload's value.
_WORKLOAD_QUANTILE: Final = 0.9
#: Upper bound of a shard's delay as a multiple of its workload's time. Without
#: it one slow replica would raise the delay of its shard and suppress hedges.
_MAX_WORKLOAD_MULTIPLE: Final = 2
#: Delay while too few answer times of a workload are known.
_DEFAULT_DELAY_MS: Final = 50
_MIN_DELAY_MS: Final = 1


@final
class HedgeDelays:
    """Hedge delays of shards: the time by which 95 of 100 answers arrive.

    Hedging after that quantile limits the extra load to about 5% (Dean and
    Barroso, "The Tail at Scale", 2013). The quantile is computed exactly over
    the last answers, because an estimate from a decaying histogram reacts too
    slowly to a replica that has just become slow.
    """

    def __init__(self) -> None:
        """Create delays without any observed answer."""
        self._shards: dict[tuple[WorkloadId, ShardId], AnswerTimeWindow] = {}
        self._workloads: dict[WorkloadId, AnswerTimeWindow] = {}

    def observe(
        self,
        workload: WorkloadId,
        shard: ShardId,
        elapsed_ms: float,
    ) -> None:
        """Record how long one attempt at a shard took to be answered."""
        key = (workload, shard)
        window = self._shards.get(key)
        if window is None:
            window = self._shards.setdefault(
                key, AnswerTimeWindow(_SHARD_SAMPLES)
            )
        window.add(elapsed_ms)
        workload_window = self._workloads.get(workload)
        if workload_window is None:
            workload_window = AnswerTimeWindow(_WORKLOAD_SAMPLES)
            self._workloads[workload] = workload_window
        workload_window.add(elapsed_ms)

    def delay_ms(self, workload: WorkloadId, shard: ShardId) -> float:
        """Return how long to wait for a shard before sending a hedge."""
        workload_ms = self.typical_ms(workload)
        window = self._shards.get((workload, shard))
        shard_ms = window.quantile_ms(_SHARD_QUANTILE) if window else None
        if shard_ms is None:
            return workload_ms
        return max(
            _MIN_DELAY_MS, min(shard_ms, workload_ms * _MAX_WORKLOAD_MULTIPLE)
        )

    def typical_ms(self, workload: WorkloadId) -> float:
        """Return the time by which most shards of a workload answer."""
        window = self._workloads.get(workload)
        time_ms = window.quantile_ms(_WORKLOAD_QUANTILE) if window else None
        return (
            _DEFAULT_DELAY_MS
            if time_ms is None
            else max(_MIN_DELAY_MS, time_ms)
        )
