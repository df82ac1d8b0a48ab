"""Outages of the store, as known to all VMs."""

from typing import Final, final

__all__ = ('StoreOutages',)

#: News of a failed call counts if the call is this much later than the last
#: one known.  Less may be the time that the same news took on its way.
_MIN_ADVANCE_MS: Final = 500.0
_NEVER_MS: Final = float('-inf')


@final
class StoreOutages:
    """Tells when the store answers again after it had failed to.

    Load pattern: the store is away for some seconds, and the entries of all
    servers expire, as no server can renew its own.  They are back soon after
    the store is.  Meanwhile the removals are read by whichever VM the store
    answers first: a reader whose watch has lasted through the outage and that
    saw no failure, or a VM that only compares revisions.  So a failed call of
    any reader counts for all VMs.

    :ivar recent_ms: a failed call no longer counts after this time, in ms.
    """

    def __init__(self, recent_ms: float) -> None:
        """Create an instance that knows of no failed call."""
        self.recent_ms = recent_ms
        self._own_failed_ms = _NEVER_MS
        self._reader_failed_ms = _NEVER_MS
        self._ended_ms = _NEVER_MS

    def note_own_failure(self, sent_ms: float, *, is_reader: bool) -> bool:
        """Note a call of this VM that the store did not answer.

        :param sent_ms: when the call was sent.
        :returns: whether other VMs should be told at once.
        """
        self._own_failed_ms = max(self._own_failed_ms, sent_ms)
        return is_reader and self._note_reader_failure(sent_ms)

    def note_failure(self, sent_ms: float) -> bool:
        """Note a call of a reader, of which another VM told.

        :param sent_ms: when it was sent, by this VM's clock.
        :returns: whether other VMs should be told at once.
        """
        if sent_ms - self._reader_failed_ms < _MIN_ADVANCE_MS:
            return False
        return self._note_reader_failure(sent_ms)

    def age_ms(self, now_ms: float) -> int | None:
        """Return how long ago a reader's call failed, if recently."""
        age_ms = now_ms - self._reader_failed_ms
        return max(0, int(age_ms)) if age_ms < self.recent_ms else None

    def note_answer(self, now_ms: float) -> bool:
        """Note that the store answers this VM.

        :returns: whether an outage has ended since the last answer.
        """
        failed_ms = max(self._own_failed_ms, self._reader_failed_ms)
        has_ended = (
            failed_ms > self._ended_ms and now_ms - failed_ms < self.recent_ms
        )
        if has_ended:
            self._ended_ms = now_ms
        return has_ended

    def _note_reader_failure(self, sent_ms: float) -> bool:
        since_ms = sent_ms - self._reader_failed_ms
        self._reader_failed_ms = max(self._reader_failed_ms, sent_ms)
        return since_ms >= self.recent_ms
