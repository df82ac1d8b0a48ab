"""Latency histograms, and the quantiles read from them."""

from typing import Final, final

from hdrh.histogram import HdrHistogram

__all__ = ('QUANTILES', 'LatencyHistogram', 'merged')

#: The quantiles that are reported.
QUANTILES: Final = (0.5, 0.95, 0.99, 0.999)

_US_PER_MS: Final = 1000
_MAX_US: Final = 600_000_000
_SIGNIFICANT_DIGITS: Final = 2
_COUNTER_BYTES: Final = 8
_PERCENT: Final = 100


@final
class LatencyHistogram:
    """Latencies up to ten minutes, each known to within one percent."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = HdrHistogram(
            1,
            _MAX_US,
            _SIGNIFICANT_DIGITS,
            word_size=_COUNTER_BYTES,
        )
        self._sum_ms: float = 0

    @property
    def count(self) -> int:
        """How many latencies were recorded."""
        return int(self._histogram.get_total_count())

    @property
    def sum_ms(self) -> float:
        """The latencies recorded since the start, added up."""
        return self._sum_ms

    def record(self, elapsed_ms: float) -> None:
        """Add one latency."""
        elapsed_us = round(elapsed_ms * _US_PER_MS)
        self._histogram.record_value(min(max(elapsed_us, 1), _MAX_US))
        self._sum_ms += elapsed_ms

    def quantile_ms(self, quantile: float) -> float:
        """Read a quantile, 0 when nothing was recorded."""
        if not self.count:
            return 0
        elapsed_us = self._histogram.get_value_at_percentile(
            quantile * _PERCENT,
        )
        return float(elapsed_us) / _US_PER_MS

    def encode(self) -> str:
        """Encode in the HdrHistogram V2 form, to be merged elsewhere."""
        return str(self._histogram.encode(), 'ascii')

    def add_encoded(self, encoded: str) -> None:
        """Merge in what another process encoded."""
        self._histogram.decode_and_add(encoded)


def merged(encoded: tuple[str, ...]) -> LatencyHistogram:
    """Merge the histograms of several processes into one."""
    whole = LatencyHistogram()
    for part in encoded:
        whole.add_encoded(part)
    return whole
