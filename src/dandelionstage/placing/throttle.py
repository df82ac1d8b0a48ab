"""Asks an overloaded server less often, so that what it takes is in time."""

import math
from typing import Final, final

__all__ = ('Throttle',)

#: Requests that may be sent for each one answered in time, and besides,
#: before some are held back.
_SENT_PER_ANSWER: Final = 1.3
_SENT_BESIDES: Final = 2.5
#: Counts halve in this time, so that a server that recovers is soon asked
#: fully again.
_HALF_LIFE_MS: Final = 2000.0
#: A server that has left attempts unanswered for this long, at least this
#: many, is taken to be unreachable until it answers anything.
_SILENT_MS: Final = 500.0
_SILENT_ATTEMPTS: Final = 2


@final
class Throttle:  # noqa: WPS214 -- two counts, short methods
    """Counts what was sent to a server and what it answered in time.

    Source: client-side throttling (Beyer and others, "Site Reliability
    Engineering", 2016, chapter 21).
    """

    __slots__ = ('_answered', '_counted_ms', '_sent', '_since_ms', '_unheard')

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._sent = 0.0  # noqa: WPS358 -- a count that decays
        self._answered = 0.0  # noqa: WPS358 -- a count that decays
        self._counted_ms: float = 0
        self._unheard = 0
        self._since_ms: float = 0

    def record_sent(self, now_ms: float) -> None:
        """Count an attempt."""
        self._decay(now_ms)
        self._sent += 1
        if not self._unheard:
            self._since_ms = now_ms
        self._unheard += 1

    def record_answer(self, now_ms: float) -> None:
        """Count an answer that came in time."""
        self._decay(now_ms)
        self._answered += 1
        self._unheard = 0

    @property
    def may_skip(self) -> bool:
        """Whether some requests might be better not sent.

        Told without the clock: counts that have halved exceed less.
        """
        return self._excess() > 0

    def record_reply(self) -> None:
        """Note any sign of life."""
        self._unheard = 0

    def skip_probability(self, now_ms: float) -> float:
        """Return the part of the requests that is better not sent."""
        self._decay(now_ms)
        return max(0, self._excess() / (self._sent + 1))

    def is_unresponsive(self, now_ms: float) -> bool:
        """Whether the server seems unreachable."""
        return (
            self._unheard >= _SILENT_ATTEMPTS
            and now_ms - self._since_ms > _SILENT_MS
        )

    def _excess(self) -> float:
        return self._sent - _SENT_PER_ANSWER * self._answered - _SENT_BESIDES

    def _decay(self, now_ms: float) -> None:
        kept = math.exp2((self._counted_ms - now_ms) / _HALF_LIFE_MS)
        self._sent *= kept
        self._answered *= kept
        self._counted_ms = now_ms
