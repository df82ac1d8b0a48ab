"""Takes failing backend servers out for a while."""

from typing import Final, final

from ..model.verdict import Reason

__all__ = ('Ejection', 'max_ejections')

#: Failures in a row that eject a server.
_EJECT_FAILURES: Final = 5
_FIRST_EJECTION_MS: Final = 1000.0
_LONGEST_EJECTION_MS: Final = 30_000.0
#: Share of the known servers that may be ejected at a time.
_EJECTED_FRACTION: Final = 0.3

#: A silent or lost connection is not here: something between both ends may
#: have lost it, and only a failing new connection blames the server.
_BLAMED: Final = frozenset(
    (Reason.BACKEND_ERROR, Reason.BAD_REPLY, Reason.CONNECT_FAILED),
)


def max_ejections(known: int) -> int:
    """Bound the servers ejected at a time; at least one."""
    return max(1, int(known * _EJECTED_FRACTION))


@final
class Ejection:
    """Counts one server's failures in a row.

    :ivar until_ms: when the latest ejection ends.
    """

    def __init__(self) -> None:
        """Start with a server that never failed."""
        self.until_ms = float('-inf')
        self._failures = 0
        self._ejections = 0

    def record_success(self) -> None:
        """Clear the failures after an answer."""
        self._failures = 0
        self._ejections = 0

    def fail(self, reason: Reason) -> bool:
        """Count a failure; true when the server is to be ejected."""
        if reason not in _BLAMED:
            return False
        self._failures += 1
        return self._failures >= _EJECT_FAILURES

    def eject(self, now_ms: float) -> None:
        """Give no work for a while, longer each time.

        Afterwards a single failure ejects it again.
        """
        ejection_ms = _FIRST_EJECTION_MS * 2**self._ejections
        self._ejections += 1
        self._failures = _EJECT_FAILURES - 1
        self.until_ms = now_ms + min(ejection_ms, _LONGEST_EJECTION_MS)
