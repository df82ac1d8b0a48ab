"""Which VMs are alive, as one VM knows it from probes and rumours."""

import random
from collections.abc import Callable
from itertools import count
from typing import Final, final

from ..model.ids import DataCentreId, Incarnation, VmId
from ..model.messages import Digest, Leaving
from .exchanges import Exchanges, Expired, Stage
from .gossip import Gossip
from .messages import (
    Identity,
    MemberState,
    Probe,
    ProbeKind,
    SendProbe,
)
from .roster import Roster, Vms
from .schedule import ProbeSchedule
from .member_status import MemberStatus

__all__ = ('Members',)

#: Others asked to probe a VM that did not answer.
_HELPERS: Final = 3

_FIRST_TOKENS: Final = 1_000_000

_Sends = tuple[SendProbe, ...]


@final
class Members:  # noqa: WPS214 -- the face of the package, short methods
    """Probes a few VMs per second, at a cost that no fleet size changes.

    The protocol is SWIM (Das, Gupta and Motivala 2002) with a suspicion
    that only changes the order in which VMs are chosen: who may exist is
    for the published list alone to say.
    """

    def __init__(
        self,
        identity: Identity,
        digest: Callable[[], Digest],
        random_source: random.Random,
    ) -> None:
        """Start with an empty list of VMs.

        :param digest: sums up the documents that this VM holds.
        """
        self._identity = identity
        self._digest = digest
        self._random = random_source
        self._roster = Roster()
        self._gossip = Gossip(identity, self._roster)
        self._exchanges = Exchanges()
        self._schedule = ProbeSchedule(identity, random_source)
        self._tokens = count(random_source.randrange(_FIRST_TOKENS))

    def replace_published(self, vms: Vms) -> None:
        """Take the published list of VMs, which says who may exist."""
        self._roster.replace_published(vms)
        self._schedule.use(self._roster.published())

    def tick(self, now_ms: float) -> _Sends:
        """Send what is due; call it every few tens of milliseconds."""
        if self._schedule.paused(now_ms):
            self._exchanges.forget()
        sends: list[SendProbe] = []
        for expired in self._exchanges.expire(now_ms):
            sends.extend(self._pursue(expired, now_ms))
        sends.extend(
            self._ping(vm, now_ms) for vm in self._schedule.due(now_ms)
        )
        return tuple(sends)

    def receive(self, probe: Probe, now_ms: float) -> _Sends:
        """Take in a datagram and answer it."""
        if probe.sender == self._identity.vm:
            return ()
        alive = MemberStatus(probe.incarnation, MemberState.ALIVE)
        self._gossip.note(probe.sender, alive)
        self._gossip.hear(probe.rumours)
        match probe.kind:
            case ProbeKind.PING:
                return (self._write(probe.sender, ProbeKind.ACK, probe.token),)
            case ProbeKind.PING_REQUEST:
                return self._probe_for(probe, now_ms)
            case ProbeKind.ACK:
                return self._pass_on(probe)

    def note_leaving(self, leaving: Leaving) -> None:
        """Take a stop notice, of this VM itself or of another."""
        if leaving.vm == self._identity.vm:
            self._gossip.leave()
            return
        standing = MemberStatus(leaving.incarnation, MemberState.LEAVING)
        self._gossip.note(leaving.vm, standing)

    def live(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """List published VMs that are neither suspected nor leaving."""
        return self._roster.ranking.live(data_centre)

    def usable(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """List all published VMs: live, then suspected, then leaving."""
        return self._roster.ranking.usable(data_centre)

    def data_centres(self) -> tuple[DataCentreId, ...]:
        """List the data centres that have published VMs."""
        return tuple(self._roster.published())

    def incarnation_of(self, vm: VmId) -> Incarnation:
        """Say the highest incarnation heard of a VM, 0 if none."""
        return self._roster.standing_of(vm).incarnation

    def state_of(self, vm: VmId) -> MemberState:
        """Say what is believed of a VM."""
        return self._roster.standing_of(vm).state

    def _ping(self, vm: VmId, now_ms: float) -> SendProbe:
        token = next(self._tokens)
        self._exchanges.await_answer(token, vm, now_ms)
        return self._write(vm, ProbeKind.PING, token)

    def _pursue(self, expired: Expired, now_ms: float) -> _Sends:
        standing = self._roster.standing_of(expired.vm)
        alive = standing.state is MemberState.ALIVE
        if expired.stage is Stage.INDIRECT or not alive:
            return self._suspect(expired.vm, now_ms)
        self._exchanges.await_others(expired, now_ms)
        token = expired.token
        again = self._write(expired.vm, ProbeKind.PING, token)
        helpers = self._choose_helpers(expired.vm)
        return again, *(
            self._write(helper, ProbeKind.PING_REQUEST, token, expired.vm)
            for helper in helpers
        )

    def _suspect(self, vm: VmId, now_ms: float) -> _Sends:
        """Suspect a VM and at once tell some others that did not know."""
        suspected = self._roster.standing_of(vm).suspected()
        if not self._gossip.note(vm, suspected):
            return ()
        told = self._choose_helpers(vm)
        return tuple(self._ping(other, now_ms) for other in told)

    def _choose_helpers(self, target: VmId) -> list[VmId]:
        excluded = {target, self._identity.vm}
        neighbours = self.live(self._identity.data_centre)
        fit = [vm for vm in neighbours if vm not in excluded]
        return self._random.sample(fit, min(_HELPERS, len(fit)))

    def _probe_for(self, probe: Probe, now_ms: float) -> _Sends:
        target = probe.target
        if target is None or target == self._identity.vm:
            return ()
        token = next(self._tokens)
        relayed = self._exchanges.relay(
            token,
            probe.sender,
            probe.token,
            now_ms,
        )
        return (self._write(target, ProbeKind.PING, token),) if relayed else ()

    def _pass_on(self, probe: Probe) -> _Sends:
        relay = self._exchanges.answer(probe.token)
        if relay is None:
            return ()
        requester, token = relay
        return (self._write(requester, ProbeKind.ACK, token, probe.sender),)

    def _write(
        self,
        listener: VmId,
        kind: ProbeKind,
        token: int,
        target: VmId | None = None,
    ) -> SendProbe:
        rumours = self._gossip.tell(listener, self._schedule.fleet_size)
        probe = Probe(
            kind=kind,
            token=token,
            sender=self._identity.vm,
            incarnation=self._identity.incarnation,
            target=target,
            rumours=rumours,
            digest=self._digest(),
        )
        return SendProbe(listener, probe)
