"""One VM's membership and configuration decisions on virtual time."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Final, final

from dandelionstage.configuration.commands import (
    Command,
    Heads,
    PullFrom,
    PushTo,
    ReadDocument,
    ReadHeads,
)
from dandelionstage.configuration.document_sync import DocumentSync
from dandelionstage.configuration.store import DocumentStore
from dandelionstage.daemon.peer_view import view_peers
from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity, Probe, SendProbe
from dandelionstage.membership.roster import PublishedVms
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import DocumentKey, VmId
from dandelionstage.model.messages import Documents, Pull

from .network import VirtualNetwork
from .process import VirtualProcess
from .service import VirtualService
from .traffic import Traffic, message_bytes, probe_bytes

__all__ = ('Surroundings', 'VirtualVm')

_TICK_MS: Final = 50


@final
@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a VM reaches others by.

    :ivar find: gives a running VM, ``None`` if it does not run.
    """

    network: VirtualNetwork
    service: VirtualService
    find: 'Callable[[VmId], VirtualVm | None]'

    def carry(
        self,
        source: VmId,
        target: VmId,
        deliver: 'Callable[[VirtualVm], None]',
    ) -> None:
        """Deliver something to a VM that still runs when it arrives."""
        self.network.carry(
            source,
            target,
            partial(self._deliver, target, deliver),
        )

    def _deliver(
        self,
        target: VmId,
        deliver: 'Callable[[VirtualVm], None]',
    ) -> None:
        vm = self.find(target)
        if vm is not None:
            vm.process.run(partial(deliver, vm))


@final
class VirtualVm:  # noqa: WPS214 -- as many methods as kinds of events
    """Ticks its decisions and carries what they send.

    :ivar process: freezes, wakes and kills it.
    :ivar traffic: bytes and messages so far.
    """

    def __init__(
        self,
        identity: Identity,
        seeds: PublishedVms,
        surroundings: Surroundings,
    ) -> None:
        """Start with no documents, knowing the seeds."""
        chance = random.Random(surroundings.network.random.random())
        self.identity = identity
        self.process = VirtualProcess()
        self.traffic = Traffic()
        self.store = DocumentStore()
        self.members = Members(identity, self.store.digest, chance)
        self.members.replace_published(seeds)
        self._seeds = seeds
        self.peers = view_peers(self.members, identity)
        self.document_sync = DocumentSync(self.store, self.peers, chance)
        self._around = surroundings
        self._topology = self.store.topology
        surroundings.network.after(chance.uniform(0, _TICK_MS), self._tick)

    def receive_probe(self, probe: Probe, size_bytes: int) -> None:
        """Take in a datagram, as the membership task does."""
        now_ms = self._around.network.now_ms
        self.traffic.received_bytes += size_bytes
        self._send_probes(self.members.receive(probe, now_ms))
        self._obey(
            self.document_sync.receive_digest(
                probe.sender, probe.digest, now_ms
            ),
        )

    def receive(self, sender: VmId, message: Documents | Pull) -> None:
        """Take in a message, as the configuration task does."""
        self.traffic.received_bytes += message_bytes(message)
        if isinstance(message, Pull):
            self._obey(self.document_sync.receive_pull(sender, message))
        else:
            self._obey(self.document_sync.receive_documents(sender, message))

    def _tick(self) -> None:
        if self.process.running:
            self._around.network.after(_TICK_MS, self._tick)
            self.process.run(self._decide)

    def _decide(self) -> None:
        now_ms = self._around.network.now_ms
        self._send_probes(self.members.tick(now_ms))
        self._obey(self.document_sync.tick(now_ms))

    def _send_probes(self, sends: Iterable[SendProbe]) -> None:
        for send in sends:
            self.traffic.probes += 1
            size_bytes = probe_bytes(send.probe)
            self.traffic.sent_bytes += size_bytes
            deliver = partial(_hand_probe, send.probe, size_bytes)
            self._around.carry(self.identity.vm, send.vm, deliver)

    def _send(self, vm: VmId, message: Documents | Pull) -> None:
        self.traffic.messages += 1
        self.traffic.sent_bytes += message_bytes(message)
        deliver = partial(_hand_message, self.identity.vm, message)
        self._around.carry(self.identity.vm, vm, deliver)

    def _obey(self, commands: Iterable[Command]) -> None:
        for command in commands:
            match command:
                case ReadHeads():
                    self._read_heads(command)
                case ReadDocument():
                    self._read_document(command.key)
                case PushTo():
                    self._send(command.vm, command.documents)
                case PullFrom():
                    self._send(command.vm, command.pull)
        if self.store.topology is not self._topology:
            self._topology = self.store.topology
            self.members.replace_published(self._topology.vms or self._seeds)

    def _read_heads(self, command: ReadHeads) -> None:
        self._around.service.read_heads(
            self.identity,
            command,
            lambda heads: self.process.run(partial(self._take_heads, heads)),
        )

    def _read_document(self, key: DocumentKey) -> None:
        self._around.service.read_document(
            self.identity,
            key,
            lambda document: self.process.run(
                partial(self._take_document, key, document),
            ),
        )

    def _take_heads(self, heads: Heads | None) -> None:
        self.document_sync.finish_heads(heads, self._around.network.now_ms)

    def _take_document(
        self,
        key: DocumentKey,
        document: Document | None,
    ) -> None:
        now_ms = self._around.network.now_ms
        self._obey(self.document_sync.finish_document(key, document, now_ms))


def _hand_probe(probe: Probe, size_bytes: int, vm: VirtualVm) -> None:
    vm.receive_probe(probe, size_bytes)


def _hand_message(
    sender: VmId,
    message: Documents | Pull,
    vm: VirtualVm,
) -> None:
    vm.receive(sender, message)
