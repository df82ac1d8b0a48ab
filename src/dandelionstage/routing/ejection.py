"""Temporary ejection of failing backend servers."""

from typing import Final, final

from ..model.verdict import Reason

__all__ = ('Ejection', 'max_ejections')

#: Number of consecutive failures that eject a server.
_EJECTION_FAILURES: Final = 5
_FIRST_EJECTION_MS: Final = 1000.0
_MAX_EJECTION_MS: Final = 30_000.0
#: Ejections after which the duration is at its maximum; counting stops there,
#: as a power of a larger number exceeds the range of a float.
_MAX_COUNTED_EJECTIONS: Final = 5
#: Share of the known servers that may be ejected at a time.
_EJECTED_FRACTION: Final = 0.3

#: Reasons that count as failures of the server. A silent or lost connection
#: does not, because the network may have caused it; a failed connection
#: attempt does.
_SERVER_FAILURES: Final = frozenset(
    (Reason.BACKEND_ERROR, Reason.BAD_REPLY, Reason.CONNECT_FAILED),
)


def max_ejections(known: int) -> int:
    """Return how many servers may be ejected at a time, at least one.

    :param known: number of known servers.
    """
    return max(1, int(known * _EJECTED_FRACTION))


@final
class Ejection:
    """Counts the consecutive failures and the ejections of one server.

    :ivar until_ms: end of the latest ejection.
    """

    def __init__(self) -> None:
        """Create a record without failures."""
        self.until_ms = float('-inf')
        self._failures = 0
        self._ejections = 0

    def record_success(self) -> None:
        """Clear the failures and ejections after a success."""
        self._failures = 0
        self._ejections = 0

    def record_failure(self, reason: Reason) -> bool:
        """Count a failure; return whether the server should be ejected."""
        if reason not in _SERVER_FAILURES:
            return False
        self._failures += 1
        return self._failures >= _EJECTION_FAILURES

    def eject(self, now_ms: float) -> None:
        """Eject the server, twice as long each time up to a maximum.

        A success resets the duration. After the ejection a single failure
        ejects the server again.
        """
        ejection_ms = _FIRST_EJECTION_MS * 2**self._ejections
        self._ejections = min(self._ejections + 1, _MAX_COUNTED_EJECTIONS)
        self._failures = _EJECTION_FAILURES - 1
        self.until_ms = now_ms + min(ejection_ms, _MAX_EJECTION_MS)
