"""Schedule of the probes that detect restarts of drained servers."""

from collections.abc import Iterator
from typing import Final, final

from .backends import Backends
from .messages import ProbeBackend

__all__ = ('RestartProbes',)

#: Time between two rounds of probes.
_PROBE_INTERVAL_MS: Final = 2000.0


@final
class RestartProbes:
    """Requests the incarnation of servers that are unpublished or draining.

    These servers get no work, so no reply shows that they have restarted.
    """

    def __init__(self) -> None:
        """Create a schedule whose first round is due at once."""
        self._last_round_ms = float('-inf')

    def list_due(
        self, backends: Backends, now_ms: float
    ) -> Iterator[ProbeBackend]:
        """Yield the probes of a round, if one is due.

        Each unpublished or draining server gets one probe.
        """
        if now_ms < self._last_round_ms + _PROBE_INTERVAL_MS:
            return
        self._last_round_ms = now_ms
        for backend in backends.states:
            if backends.is_leaving(backend, now_ms):
                yield ProbeBackend(backend)
