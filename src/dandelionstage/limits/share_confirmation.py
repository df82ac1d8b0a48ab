"""Confirmation by other VMs that a grown share is free to use."""

from typing import Final, final

from ..model.ids import VmId

__all__ = ('CONFIRMATION_TIMEOUT_MS', 'ShareConfirmation')

#: A VM that has not confirmed by then has stopped or received the new list.
CONFIRMATION_TIMEOUT_MS: Final = 5000.0


@final
class ShareConfirmation:
    """Tracks whether other VMs can still hold a part of a grown share.

    They cannot once all possible holders have confirmed that they follow the
    same list, or once ``CONFIRMATION_TIMEOUT_MS`` have passed, in which time
    a new list reaches every running VM.
    """

    def __init__(self) -> None:
        """Create a completed confirmation."""
        self._pending_vms: frozenset[VmId] = frozenset()
        self._has_unlisted = False
        self._until_ms = float('-inf')

    def begin(
        self,
        holders: frozenset[VmId],
        listed: frozenset[VmId],
        now_ms: float,
    ) -> None:
        """Start to wait for all VMs that may hold a part of the share.

        :param holders: VMs to wait for, in addition to the pending ones.
        :param listed: VMs that can be asked; for holders not among them only
            the time-out completes the confirmation.
        """
        holders |= self.pending_vms(now_ms)
        still_unlisted = self._has_unlisted and now_ms < self._until_ms
        self._has_unlisted = still_unlisted or not holders <= listed
        self._pending_vms = holders & listed
        self._until_ms = now_ms + CONFIRMATION_TIMEOUT_MS

    def confirm(self, vm: VmId) -> None:
        """Record that a VM follows the same list."""
        self._pending_vms -= {vm}

    def pending_vms(self, now_ms: float) -> frozenset[VmId]:
        """Return the VMs to request a confirmation from."""
        return self._pending_vms if now_ms < self._until_ms else frozenset()

    def is_complete(self, now_ms: float) -> bool:
        """Whether the whole share may be used."""
        if now_ms >= self._until_ms:
            return True
        return not self._pending_vms and not self._has_unlisted
