"""Latency histograms, and the quantiles read from them."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

from hdrh.histogram import HdrHistogram

__all__ = ('QUANTILES', 'LatencyHistogram', 'LatencySummary', 'merged')

#: The quantiles that are reported, as percentiles.
QUANTILES: Final = MappingProxyType(
    {'0.5': 50.0, '0.95': 95.0, '0.99': 99.0, '0.999': 99.9},
)

_US_PER_MS: Final = 1000
_MAX_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_COUNTER_BYTES: Final = 8


@final
@dataclass(frozen=True, slots=True)
class LatencySummary:
    """What a histogram held at one moment.

    :ivar quantiles_ms: 0 when nothing was recorded.
    :ivar encoded: in the HdrHistogram V2 form, to be merged elsewhere.
    """

    count: int
    sum_ms: float
    quantiles_ms: Mapping[str, float]
    encoded: str


@final
class LatencyHistogram:
    """Latencies up to ten minutes, each known to within one percent.

    A summary walks the whole histogram, so it is prepared apart from the
    request for it, one histogram at a time.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(
            1,
            _MAX_US,
            _SIGNIFICANT_DIGITS,
            word_size=_COUNTER_BYTES,
        )
        self._sum_ms: float = 0
        self._prepared: LatencySummary | None = None

    def record(self, elapsed_ms: float) -> None:
        """Add one latency."""
        elapsed_us = round(elapsed_ms * _US_PER_MS)
        self._histogram.record_value(min(max(elapsed_us, 1), _MAX_US))
        self._sum_ms += elapsed_ms

    def prepare(self) -> None:
        """Work out the next summary ahead of its being asked for."""
        self._prepared = self._summarize()

    def summary(self) -> LatencySummary:
        """Sum up; what was prepared is given once."""
        prepared = self._prepared
        self._prepared = None
        return prepared or self._summarize()

    def add_encoded(self, encoded: str) -> None:
        """Merge in what another process encoded."""
        self._histogram.decode_and_add(encoded)

    def _summarize(self) -> LatencySummary:
        found = self._histogram.get_percentile_to_value_dict(
            list(QUANTILES.values()),
        )
        return LatencySummary(
            count=int(self._histogram.get_total_count()),
            sum_ms=self._sum_ms,
            quantiles_ms={
                quantile: found.get(percentile, 0) / _US_PER_MS
                for quantile, percentile in QUANTILES.items()
            },
            encoded=str(self._histogram.encode(), 'ascii'),
        )


def merged(encoded: tuple[str, ...]) -> LatencyHistogram:
    """Merge the histograms of several processes into one."""
    whole = LatencyHistogram()
    for part in encoded:
        whole.add_encoded(part)
    return whole
