"""When to look whether a drained backend server has restarted."""

from collections.abc import Iterator
from typing import Final, final

from .backends import Backends
from .messages import ProbeBackend

__all__ = ('Probes',)

#: Between two looks at all servers that get no work.
_PAUSE_MS: Final = 2000.0


@final
class Probes:
    """Asks drained servers for their incarnation, as they get no work."""

    def __init__(self) -> None:
        """Start with a look."""
        self._looked_ms = float('-inf')

    def list_due(
        self, backends: Backends, now_ms: float
    ) -> Iterator[ProbeBackend]:
        """List the servers to ask now."""
        if now_ms < self._looked_ms + _PAUSE_MS:
            return
        self._looked_ms = now_ms
        for backend in backends.states:
            if backends.is_leaving(backend, now_ms):
                yield ProbeBackend(backend)
