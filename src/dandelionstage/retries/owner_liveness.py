"""Distinguishes owners that are silent from owners that are slow."""

from typing import Final, final

from ..model.ids import VmId

__all__ = ('OwnerLiveness',)

#: Silence after which an owner is tried again.
_MAX_SILENT_MS: Final = 1000


@final
class OwnerLiveness:
    """Records requests to and replies from each owner, over all queries.

    An owner that replied since an attempt was sent is alive, so the backend
    server causes the delay of that attempt. A lost owner is thus detected
    within a few answer times, sooner than by the probes between daemons.
    """

    def __init__(self) -> None:
        """Create a record without any owner."""
        self._replied_ms: dict[VmId, float] = {}
        self._waiting_since_ms: dict[VmId, float] = {}

    def record_request(self, vm: VmId, now_ms: float) -> None:
        """Record that an attempt is sent to an owner."""
        self._waiting_since_ms.setdefault(vm, now_ms)

    def record_reply(self, vm: VmId, now_ms: float) -> None:
        """Record a reply of an owner."""
        self._replied_ms[vm] = now_ms
        self._waiting_since_ms.pop(vm, None)

    def replied_since(self, vm: VmId, sent_ms: float) -> bool:
        """Whether the owner has replied to any attempt after this time."""
        replied_ms = self._replied_ms.get(vm)
        return replied_ms is not None and replied_ms > sent_ms

    def silent_ms(self, vm: VmId, now_ms: float) -> float:
        """Return how long attempts have waited for any reply of an owner.

        Beyond ``_MAX_SILENT_MS`` the wait is forgotten and the result is 0, so
        that the owner is tried again.
        """
        waiting_since_ms = self._waiting_since_ms.get(vm)
        if waiting_since_ms is None:
            return 0
        silent_ms = now_ms - waiting_since_ms
        if silent_ms > _MAX_SILENT_MS:
            self._waiting_since_ms.pop(vm)
            return 0
        return silent_ms
