"""Decision whether the data centre of a VM is cut off from all others.

Load pattern: a data centre is cut off for seconds, with callers that still
reach it.  Queries that need servers elsewhere wait for them until their
deadline, and the callers cannot know that another data centre would answer.
A VM whose data centre is cut off serves what its own servers can, refuses the
rest at once, and lets callers be sent elsewhere.
"""

from typing import Final, final

__all__ = ('IsolationDetector',)

#: Silence of all other data centres after which some of their VMs are asked
#: for a reply, and the time that they have for it.  A VM receives several
#: hellos a second, so that such a silence is rare without a fault.
_SILENCE_MS: Final = 450.0
_REPLY_MS: Final = 150.0
#: Interval between requests for a reply while there is none.
_PROBE_INTERVAL_MS: Final = 500.0


@final
class IsolationDetector:
    """Combines what is heard from other data centres and from the store.

    Their VMs and servers must be silent, and the store too: if it answers,
    this VM's network works and the others may be dead, in which case callers
    have no better place to go.
    """

    def __init__(self) -> None:
        """Create a detector that has heard from no other data centre."""
        self._heard_ms: float | None = None
        self._first_probe_ms: float | None = None
        self._last_probe_ms = float('-inf')
        self._is_store_silent = False

    @property
    def is_cut_off(self) -> bool:
        """Whether nothing outside of the data centre answers."""
        return self._is_store_silent

    def record_heard(self, heard_ms: float) -> None:
        """Record when another data centre was last heard from.

        A time before the first probe changes nothing.
        """
        if self._heard_ms is None or heard_ms > self._heard_ms:
            self._heard_ms = heard_ms
            if self._first_probe_ms is None or heard_ms > self._first_probe_ms:
                self._first_probe_ms = None
                self._is_store_silent = False

    def should_probe(self, now_ms: float) -> bool:
        """Whether to ask VMs of other data centres for a reply now."""
        return (
            self._heard_ms is not None
            and now_ms - self._heard_ms >= _SILENCE_MS
            and now_ms - self._last_probe_ms >= _PROBE_INTERVAL_MS
        )

    def record_probe(self, now_ms: float) -> None:
        """Record that VMs of other data centres were asked for a reply."""
        self._last_probe_ms = now_ms
        if self._first_probe_ms is None:
            self._first_probe_ms = now_ms

    def should_ask_store(self, now_ms: float) -> bool:
        """Whether only the store's silence is missing for the decision."""
        return (
            self._first_probe_ms is not None
            and not self._is_store_silent
            and now_ms - self._first_probe_ms >= _REPLY_MS
        )

    def record_store(self, *, is_silent: bool, now_ms: float) -> None:
        """Record whether the store answered.

        An answer restarts the wait for the other data centres.
        """
        if self._first_probe_ms is None:
            # Another data centre was heard from in the meantime.
            return
        self._is_store_silent = is_silent
        if not is_silent:
            self._first_probe_ms = None
            self._heard_ms = now_ms
