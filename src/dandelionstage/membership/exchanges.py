"""Probes that wait for an answer, and answers to pass on for others."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, final

from ..model.ids import VmId

__all__ = ('Exchanges', 'Expired', 'Stage')

#: A probed VM answers within this time, else others are asked.
_DIRECT_TIMEOUT_MS: Final = 150

#: Others get an answer within this time, else the VM is suspected.
_INDIRECT_TIMEOUT_MS: Final = 250

#: Ping requests of others served at a time; more are ignored.
_MAX_RELAYS: Final = 64


@unique
class Stage(Enum):
    """How far the probing of one VM has come."""

    DIRECT = 'direct'
    INDIRECT = 'indirect'


@final
@dataclass(frozen=True, slots=True)
class Expired:
    """A probe whose answer did not come in time."""

    vm: VmId
    token: int
    stage: Stage


@final
@dataclass(frozen=True, slots=True)
class _Pending:
    vm: VmId
    expires_ms: float
    stage: Stage


@final
@dataclass(frozen=True, slots=True)
class _Relay:
    requester: VmId
    token: int
    expires_ms: float


@final
class Exchanges:
    """Pairs answers with probes by token and finds those that are overdue."""

    def __init__(self) -> None:
        """Wait for nothing yet."""
        self._pending: dict[int, _Pending] = {}
        self._relays: dict[int, _Relay] = {}

    def await_answer(self, token: int, vm: VmId, now_ms: float) -> None:
        """Wait for a VM's own answer."""
        expires_ms = now_ms + _DIRECT_TIMEOUT_MS
        self._pending[token] = _Pending(vm, expires_ms, Stage.DIRECT)

    def await_others(self, expired: Expired, now_ms: float) -> None:
        """Wait on for an answer that others were asked to get."""
        expires_ms = now_ms + _INDIRECT_TIMEOUT_MS
        pending = _Pending(expired.vm, expires_ms, Stage.INDIRECT)
        self._pending[expired.token] = pending

    def relay(
        self,
        token: int,
        requester: VmId,
        request: int,
        now_ms: float,
    ) -> bool:
        """Remember whom to pass an answer on to; say whether there is room.

        :param token: of the probe made on the requester's behalf.
        :param request: the requester's own token.
        """
        if len(self._relays) >= _MAX_RELAYS:
            return False
        expires_ms = now_ms + _INDIRECT_TIMEOUT_MS
        self._relays[token] = _Relay(requester, request, expires_ms)
        return True

    def answer(self, token: int) -> tuple[VmId, int] | None:
        """Take an answer; give whom to pass it on to with which token."""
        self._pending.pop(token, None)
        relay = self._relays.pop(token, None)
        return None if relay is None else (relay.requester, relay.token)

    def expire(self, now_ms: float) -> tuple[Expired, ...]:
        """Take out and list the probes whose answer is overdue."""
        expired = tuple(
            Expired(pending.vm, token, pending.stage)
            for token, pending in self._pending.items()
            if pending.expires_ms <= now_ms
        )
        for probe in expired:
            self._pending.pop(probe.token)
        self._relays = {
            token: relay
            for token, relay in self._relays.items()
            if relay.expires_ms > now_ms
        }
        return expired

    def forget(self) -> None:
        """Drop everything, as after a pause that made all of it overdue."""
        self._pending.clear()
        self._relays.clear()
