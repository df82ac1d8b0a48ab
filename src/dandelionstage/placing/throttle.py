"""Client-side throttling of requests to an overloaded server."""

import math
from typing import Final, final

__all__ = ('Throttle',)

#: Requests allowed for each answer in time, and the number allowed on top of
#: that, before some are skipped.
_SENT_PER_ANSWER: Final = 1.3
_EXTRA_SENT: Final = 2.5
#: Half-life of the counts, so that a server soon gets all requests again after
#: it has recovered.
_HALF_LIFE_MS: Final = 2000.0
#: A server counts as unresponsive once at least this many attempts in a row
#: are unanswered and the first of them is older than this; any reply ends it.
_UNRESPONSIVE_MS: Final = 500.0
_UNRESPONSIVE_ATTEMPTS: Final = 2


@final
class Throttle:  # noqa: WPS214 -- many short methods on two counts
    """Counts the requests sent to a server and its answers in time.

    The fraction of requests to skip is derived from both counts, so that an
    overloaded server answers those that it gets in time.

    Source: client-side throttling (Beyer and others, "Site Reliability
    Engineering", 2016, chapter 21).
    """

    __slots__ = (
        '_answered',
        '_decayed_ms',
        '_first_unanswered_ms',
        '_sent',
        '_unanswered',
    )

    def __init__(self) -> None:
        """Create a throttle with all counts at zero."""
        self._sent = 0.0  # noqa: WPS358 -- a count that decays
        self._answered = 0.0  # noqa: WPS358 -- a count that decays
        self._decayed_ms: float = 0
        self._unanswered = 0
        self._first_unanswered_ms: float = 0

    def record_sent(self, now_ms: float) -> None:
        """Record an attempt sent to the server."""
        self._decay(now_ms)
        self._sent += 1
        if not self._unanswered:
            self._first_unanswered_ms = now_ms
        self._unanswered += 1

    def withdraw(self, now_ms: float) -> None:
        """Take back an attempt that was recorded but never sent."""
        self._decay(now_ms)
        self._sent = max(0, self._sent - 1)
        self._unanswered = max(0, self._unanswered - 1)

    def record_answer(self, now_ms: float) -> None:
        """Record an answer that arrived in time."""
        self._decay(now_ms)
        self._answered += 1
        self._unanswered = 0

    @property
    def may_skip(self) -> bool:
        """Whether the skip probability may be above zero.

        Needs no clock: decay can only lower the excess of sent requests.
        """
        return self._excess() > 0

    def record_reply(self) -> None:
        """Record any reply, which shows that the server is reachable."""
        self._unanswered = 0

    def skip_probability(self, now_ms: float) -> float:
        """Return the fraction of requests that should be skipped."""
        self._decay(now_ms)
        return max(0, self._excess() / (self._sent + 1))

    def is_unresponsive(self, now_ms: float) -> bool:
        """Whether the server has left recent attempts unanswered."""
        return (
            self._unanswered >= _UNRESPONSIVE_ATTEMPTS
            and now_ms - self._first_unanswered_ms > _UNRESPONSIVE_MS
        )

    def _excess(self) -> float:
        """Return by how much the sent requests exceed the allowed number."""
        return self._sent - _SENT_PER_ANSWER * self._answered - _EXTRA_SENT

    def _decay(self, now_ms: float) -> None:
        kept = math.exp2((self._decayed_ms - now_ms) / _HALF_LIFE_MS)
        self._sent *= kept
        self._answered *= kept
        self._decayed_ms = now_ms
