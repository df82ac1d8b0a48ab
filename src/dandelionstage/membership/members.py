"""Tracks which VMs are alive, as one VM sees it."""

import random
from collections.abc import Callable
from itertools import count
from typing import Final, final

from ..model.ids import DataCentreId, Incarnation, VmId
from ..model.messages import Digest, Leaving
from .gossip import Gossip
from .member_status import MemberStatus
from .messages import (
    Identity,
    MemberState,
    Probe,
    ProbeKind,
    SendProbe,
)
from .pending_probes import ExpiredProbe, PendingProbes, ProbeStage
from .roster import PublishedVms, Roster
from .schedule import ProbeSchedule

__all__ = ('Members',)

#: Maximum number of VMs asked to probe a VM that did not answer, or informed
#: that a VM is suspected.
_MAX_CHOSEN_PEERS: Final = 3

#: Tokens of probes start at a random number below this.
_MAX_FIRST_TOKEN: Final = 1_000_000

_Sends = tuple[SendProbe, ...]


@final
class Members:  # noqa: WPS214 -- the interface of the package
    """Probes a few VMs per second, independent of the size of the fleet.

    The protocol is SWIM (Das, Gupta and Motivala 2002), except that a
    suspicion only changes the order in which VMs are chosen: the published
    list alone determines which VMs exist.
    """

    def __init__(
        self,
        identity: Identity,
        digest: Callable[[], Digest],
        random_source: random.Random,
    ) -> None:
        """Start with an empty list of VMs.

        :param digest: returns the digest of the documents this VM holds.
        """
        self._identity = identity
        self._digest = digest
        self._random = random_source
        self._roster = Roster()
        self._gossip = Gossip(identity, self._roster)
        self._pending_probes = PendingProbes()
        self._schedule = ProbeSchedule(identity, random_source)
        self._tokens = count(random_source.randrange(_MAX_FIRST_TOKEN))

    def replace_published(self, vms: PublishedVms) -> None:
        """Replace the published VMs; only these count as members."""
        self._roster.replace_published(vms)
        self._schedule.replace_vms(self._roster.published())

    def tick(self, now_ms: float) -> _Sends:
        """Return the probes that are due; called every few tens of ms."""
        if self._schedule.was_paused(now_ms):
            self._pending_probes.clear()
        sends: list[SendProbe] = []
        for expired in self._pending_probes.expire(now_ms):
            sends.extend(self._handle_expired(expired, now_ms))
        sends.extend(
            self._ping(vm, now_ms) for vm in self._schedule.due(now_ms)
        )
        return tuple(sends)

    def receive(self, probe: Probe, now_ms: float) -> _Sends:
        """Handle a datagram and return the answers."""
        if probe.sender == self._identity.vm:
            return ()
        alive = MemberStatus(probe.incarnation, MemberState.ALIVE)
        self._gossip.update(probe.sender, alive)
        self._gossip.receive(probe.rumours)
        match probe.kind:
            case ProbeKind.PING:
                return (
                    self._make_probe(probe.sender, ProbeKind.ACK, probe.token),
                )
            case ProbeKind.PING_REQUEST:
                return self._probe_on_behalf(probe, now_ms)
            case ProbeKind.ACK:
                return self._forward_ack(probe)

    def note_leaving(self, leaving: Leaving) -> None:
        """Handle a stop notice of this VM or of another one."""
        if leaving.vm == self._identity.vm:
            self._gossip.leave()
            return
        status = MemberStatus(leaving.incarnation, MemberState.LEAVING)
        self._gossip.update(leaving.vm, status)

    def live(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """Return the published VMs that are neither suspected nor leaving."""
        return self._roster.ranking.live(data_centre)

    def usable(self, data_centre: DataCentreId) -> tuple[VmId, ...]:
        """Return all published VMs: live, then suspected, then leaving."""
        return self._roster.ranking.usable(data_centre)

    def data_centres(self) -> tuple[DataCentreId, ...]:
        """Return the data centres that have published VMs."""
        return tuple(self._roster.published())

    def incarnation_of(self, vm: VmId) -> Incarnation:
        """Return the highest known incarnation of a VM, 0 if none."""
        return self._roster.status_of(vm).incarnation

    def state_of(self, vm: VmId) -> MemberState:
        """Return the state of a VM as this VM knows it."""
        return self._roster.status_of(vm).state

    def _ping(self, vm: VmId, now_ms: float) -> SendProbe:
        token = next(self._tokens)
        self._pending_probes.expect_ack(token, vm, now_ms)
        return self._make_probe(vm, ProbeKind.PING, token)

    def _handle_expired(self, expired: ExpiredProbe, now_ms: float) -> _Sends:
        """Handle a probe without an answer in time.

        After the direct probe of an alive VM, the VM is probed again, also
        through others; in all other cases it is suspected.
        """
        status = self._roster.status_of(expired.vm)
        alive = status.state is MemberState.ALIVE
        if expired.stage is ProbeStage.INDIRECT or not alive:
            return self._suspect(expired.vm, now_ms)
        self._pending_probes.expect_indirect_ack(expired, now_ms)
        token = expired.token
        repeated_ping = self._make_probe(expired.vm, ProbeKind.PING, token)
        helpers = self._choose_live_peers(expired.vm)
        return repeated_ping, *(
            self._make_probe(helper, ProbeKind.PING_REQUEST, token, expired.vm)
            for helper in helpers
        )

    def _suspect(self, vm: VmId, now_ms: float) -> _Sends:
        """Suspect a VM and, if this is new, inform some other VMs at once."""
        suspected = self._roster.status_of(vm).as_suspected()
        if not self._gossip.update(vm, suspected):
            return ()
        informed = self._choose_live_peers(vm)
        return tuple(self._ping(other, now_ms) for other in informed)

    def _choose_live_peers(self, target: VmId) -> list[VmId]:
        excluded = {target, self._identity.vm}
        live_vms = self.live(self._identity.data_centre)
        candidates = [vm for vm in live_vms if vm not in excluded]
        return self._random.sample(
            candidates, min(_MAX_CHOSEN_PEERS, len(candidates))
        )

    def _probe_on_behalf(self, probe: Probe, now_ms: float) -> _Sends:
        target = probe.target
        if target is None or target == self._identity.vm:
            return ()
        token = next(self._tokens)
        relayed = self._pending_probes.relay(
            token,
            probe.sender,
            probe.token,
            now_ms,
        )
        return (
            (self._make_probe(target, ProbeKind.PING, token),)
            if relayed
            else ()
        )

    def _forward_ack(self, probe: Probe) -> _Sends:
        relay = self._pending_probes.receive_ack(probe.token)
        if relay is None:
            return ()
        requester, token = relay
        return (
            self._make_probe(requester, ProbeKind.ACK, token, probe.sender),
        )

    def _make_probe(
        self,
        recipient: VmId,
        kind: ProbeKind,
        token: int,
        target: VmId | None = None,
    ) -> SendProbe:
        rumours = self._gossip.choose_rumours(
            recipient, self._schedule.fleet_size
        )
        probe = Probe(
            kind=kind,
            token=token,
            sender=self._identity.vm,
            incarnation=self._identity.incarnation,
            target=target,
            rumours=rumours,
            digest=self._digest(),
        )
        return SendProbe(recipient, probe)
