"""Outages of the store, as known to all VMs."""

from collections.abc import Callable
from typing import Final, final

__all__ = ('StoreOutages',)

#: The store was away if it answered no VM for this long, and entries of
#: servers may have lapsed.  VMs ask it three times a second together, so that
#: a store that refuses a part of them seldom answers none for as long.
_MIN_OUTAGE_MS: Final = 2000.0
#: News of a call counts if the call is this much later than the last one
#: known.  Less may be the time that the same news took on its way.
_MIN_ADVANCE_MS: Final = 400.0
_NEVER_MS: Final = float('-inf')


@final
class StoreOutages:  # noqa: WPS214 -- short methods
    """Tells when the store answers again after an outage.

    Load pattern: the store is away for some seconds, and the entries of all
    servers expire, as no server can renew its own.  They are back soon after
    the store is.  Meanwhile the removals are read by whichever VM the store
    answers first: a reader whose watch has lasted through the outage, or a VM
    that only compares revisions.  On the other hand the store may refuse its
    readers and serve the other VMs; that is no outage, and what they read is
    to be applied in time.  So a failed call of any reader is known to all VMs,
    and so is, after one, that the store has answered another VM.

    :ivar recent_ms: a failed call no longer counts after this time, in ms.
    :ivar on_ended: called with the time of the first answer after an outage.
    :ivar on_news: called when other VMs should be told at once.
    """

    def __init__(self, recent_ms: float) -> None:
        """Create an instance that knows of no call."""
        self.recent_ms = recent_ms
        self.on_ended: Callable[[float], None] = _ignore
        self.on_news: Callable[[], None] = _ignore
        self._own_failed_ms = _NEVER_MS
        self._reader_failed_ms = _NEVER_MS
        self._answered_ms = _NEVER_MS

    def note_own_failure(self, sent_ms: float, *, is_reader: bool) -> None:
        """Note a call of this VM that the store did not answer.

        :param sent_ms: when the call was sent.
        """
        self._own_failed_ms = max(self._own_failed_ms, sent_ms)
        if is_reader:
            self._note_reader_failure(sent_ms)

    def note_own_answer(self, now_ms: float) -> None:
        """Note that the store answers this VM."""
        self._note_answer(now_ms)

    def note_news(
        self, failed_ms: float | None, answered_ms: float | None
    ) -> None:
        """Note what another VM knows.

        :param failed_ms: when it failed to answer a reader, by this VM's
            clock, ``None`` if it did not recently.
        :param answered_ms: when the store last answered any VM.
        """
        if failed_ms is not None and self._is_later(
            failed_ms, self._reader_failed_ms
        ):
            self._note_reader_failure(failed_ms)
        if answered_ms is not None and self._is_later(
            answered_ms, self._answered_ms
        ):
            self._note_answer(answered_ms)

    def failed_age_ms(self, now_ms: float) -> int | None:
        """Return how long ago a reader's call failed, if recently."""
        return self._age_ms(self._reader_failed_ms, now_ms)

    def answered_age_ms(self, now_ms: float) -> int | None:
        """Return how long ago the store answered any VM, if recently."""
        return self._age_ms(self._answered_ms, now_ms)

    def _note_answer(self, at_ms: float) -> None:
        before_ms = self._answered_ms
        if at_ms <= before_ms:
            return
        self._answered_ms = at_ms
        failed_ms = max(self._own_failed_ms, self._reader_failed_ms)
        has_failed = at_ms - failed_ms < self.recent_ms
        if has_failed and self._is_later(at_ms, before_ms):
            self.on_news()
        was_away = at_ms - before_ms >= _MIN_OUTAGE_MS
        if has_failed and was_away and failed_ms > before_ms:
            self.on_ended(at_ms)

    def _note_reader_failure(self, sent_ms: float) -> None:
        since_ms = sent_ms - self._reader_failed_ms
        self._reader_failed_ms = max(self._reader_failed_ms, sent_ms)
        if since_ms >= self.recent_ms:
            self.on_news()

    def _age_ms(self, at_ms: float, now_ms: float) -> int | None:
        age_ms = now_ms - at_ms
        return max(0, int(age_ms)) if age_ms < self.recent_ms else None

    def _is_later(self, at_ms: float, known_ms: float) -> bool:
        return at_ms - known_ms >= _MIN_ADVANCE_MS


def _ignore(*_: float) -> None:
    """Do nothing."""
