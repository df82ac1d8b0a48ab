"""Second answers that a faulty server breaks off, at once or late."""

import itertools
from typing import Final, final

__all__ = ('Stutter',)

_HEAD: Final = (
    'HTTP/1.1 {0}\r\nX-Request-Id: another\r\nX-Response-Stamp: i-0.1\r\n'
    'X-Not-Executed: 1\r\nDate: Sat, 05 Dec 2026 13:25:38 GMT\r\n'
    'Content-Length: 0\r\n\r\n'
)
_SECOND: Final = tuple(
    _HEAD.format(status).encode()
    for status in (
        '200 OK',
        '400 Bad Request',
        '500 Internal Server Error',
        '503 Service Unavailable',
    )
)
#: Steps between the places at which second answers are cut; no factor of the
#: length of one, so that all places come.
_CUT_STEP: Final = 7
#: Of so many answers one has a second one behind it, and one before it.
_PERIOD: Final = 3


@final
class Stutter:
    """Adds the start of another answer behind an answer or before it.

    What comes before an answer arrived late: its connection is in use again.
    """

    def __init__(self) -> None:
        """Begin with a cut in the status line."""
        self._numbers = itertools.count(1)

    def spoil(self, whole: bytes) -> bytes:
        """Return an answer with what the server sends around it."""
        number = next(self._numbers)
        second = _SECOND[number % len(_SECOND)]
        start = second[: 1 + number * _CUT_STEP % len(second)]
        if number % _PERIOD == 1:
            return whole + start
        if number % _PERIOD == 2:
            return start + whole
        return whole
