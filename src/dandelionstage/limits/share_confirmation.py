"""Whether the other VMs have made room for a share that has grown."""

from typing import Final, final

from ..model.ids import VmId

__all__ = ('CONFIRMATION_TIMEOUT_MS', 'ShareConfirmation')

#: A VM silent for this long has stopped, or has heard of the change too.
CONFIRMATION_TIMEOUT_MS: Final = 5000.0


@final
class ShareConfirmation:
    """Waits until nobody can still hold what a change gives to this VM.

    Either all who may hold it confirm that they follow the same list, or a
    time passes in which a new list reaches every VM that runs.
    """

    def __init__(self) -> None:
        """Start settled."""
        self._awaited: frozenset[VmId] = frozenset()
        self._gone = False
        self._until_ms = float('-inf')

    def begin(
        self,
        holders: frozenset[VmId],
        listed: frozenset[VmId],
        now_ms: float,
    ) -> None:
        """Wait for all who may hold a part of the share.

        :param holders: these VMs, besides those still waited for.
        :param listed: those who can be asked; for others only time helps.
        """
        holders |= self.pending_vms(now_ms)
        still_gone = self._gone and now_ms < self._until_ms
        self._gone = still_gone or not holders <= listed
        self._awaited = holders & listed
        self._until_ms = now_ms + CONFIRMATION_TIMEOUT_MS

    def confirm(self, vm: VmId) -> None:
        """Note that a VM follows the same list."""
        self._awaited -= {vm}

    def pending_vms(self, now_ms: float) -> frozenset[VmId]:
        """List those to ask for a confirmation."""
        return self._awaited if now_ms < self._until_ms else frozenset()

    def is_complete(self, now_ms: float) -> bool:
        """Say whether the share may be used."""
        if now_ms >= self._until_ms:
            return True
        return not self._awaited and not self._gone
