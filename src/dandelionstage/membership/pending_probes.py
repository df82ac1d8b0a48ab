"""Probes that wait for an answer, and those sent on behalf of other VMs."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..model.ids import VmId

__all__ = ('ExpiredProbe', 'PendingProbes', 'ProbeStage')

#: Time-out of a direct probe; other VMs are then asked to probe.
_DIRECT_TIMEOUT_MS: Final = 150

#: Time-out of an indirect probe; the VM is then suspected.
_INDIRECT_TIMEOUT_MS: Final = 250

#: Maximum number of pending ping requests of other VMs; more are ignored.
_MAX_RELAYED_PROBES: Final = 64


@unique
class ProbeStage(Enum):
    """Whether a VM is probed directly or through other VMs as well."""

    DIRECT = 'direct'
    INDIRECT = 'indirect'


@final
@dataclass(frozen=True, slots=True)
class ExpiredProbe:
    """A probe that was not answered in time."""

    vm: VmId
    token: int
    stage: ProbeStage


@final
@dataclass(frozen=True, slots=True)
class _Pending:
    vm: VmId
    expires_ms: float
    stage: ProbeStage


@final
@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    requester: VmId
    token: int
    expires_ms: float


@final
class PendingProbes:
    """Matches answers to probes by token and finds expired probes."""

    def __init__(self) -> None:
        """Start without pending probes."""
        self._pending: dict[int, _Pending] = {}
        self._relayed: dict[int, _RelayedProbe] = {}

    def expect_ack(self, token: int, vm: VmId, now_ms: float) -> None:
        """Add a direct probe that waits for the answer of a VM."""
        expires_ms = now_ms + _DIRECT_TIMEOUT_MS
        self._pending[token] = _Pending(vm, expires_ms, ProbeStage.DIRECT)

    def expect_indirect_ack(self, expired: ExpiredProbe, now_ms: float) -> None:
        """Continue an expired probe that other VMs were asked to repeat."""
        expires_ms = now_ms + _INDIRECT_TIMEOUT_MS
        pending = _Pending(expired.vm, expires_ms, ProbeStage.INDIRECT)
        self._pending[expired.token] = pending

    def relay(
        self,
        token: int,
        requester: VmId,
        requester_token: int,
        now_ms: float,
    ) -> bool:
        """Add a probe on behalf of another VM, unless there are too many.

        :param token: token of the probe on the requester's behalf.
        :param requester_token: token of the requester's own probe.
        :returns: whether the probe was added.
        """
        if len(self._relayed) >= _MAX_RELAYED_PROBES:
            return False
        expires_ms = now_ms + _INDIRECT_TIMEOUT_MS
        self._relayed[token] = _RelayedProbe(
            requester, requester_token, expires_ms
        )
        return True

    def receive_ack(self, token: int) -> tuple[VmId, int] | None:
        """Handle an answer; return the requester and its token, if any."""
        self._pending.pop(token, None)
        relay = self._relayed.pop(token, None)
        return None if relay is None else (relay.requester, relay.token)

    def expire(self, now_ms: float) -> tuple[ExpiredProbe, ...]:
        """Remove and return the probes that were not answered in time."""
        expired = tuple(
            ExpiredProbe(pending.vm, token, pending.stage)
            for token, pending in self._pending.items()
            if pending.expires_ms <= now_ms
        )
        for probe in expired:
            self._pending.pop(probe.token)
        self._relayed = {
            token: relay
            for token, relay in self._relayed.items()
            if relay.expires_ms > now_ms
        }
        return expired

    def clear(self) -> None:
        """Remove all probes; used after a pause in which all expired."""
        self._pending.clear()
        self._relayed.clear()
