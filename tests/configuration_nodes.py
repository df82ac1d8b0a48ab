"""Configuration and membership tasks of daemons on real sockets."""

import random
import sys
from collections.abc import Iterable
from subprocess import Popen

import anyio
import httpx
from anyio.abc import TaskGroup

from dandelionstage.configuration.document_sync import DocumentSync
from dandelionstage.configuration.store import DocumentStore
from dandelionstage.configuration.topology import PlacedVm, Topology
from dandelionstage.daemon.configuration_events import (
    DigestHeard,
    DocumentsReceived,
    PullReceived,
)
from dandelionstage.daemon.configuration_task import ConfigurationTask
from dandelionstage.daemon.membership_task import MembershipTask
from dandelionstage.daemon.peer_view import view_peers
from dandelionstage.daemon.service_client import ServiceClient
from dandelionstage.membership.members import Members
from dandelionstage.membership.messages import Identity
from dandelionstage.model.ids import DataCentreId, Incarnation, VmId
from dandelionstage.model.messages import Digest, Documents, Pull
from dandelionstage.model.topology import Vm
from tools.fleet.ports import PortPicker

HOST = '127.0.0.1'


#: Reserves a block of ports while the tests run, so that no other process
#: takes a port between its choice and its use.
PORTS = PortPicker()


def free_port() -> int:
    """Return a port that no process listens on."""
    return PORTS.pick()


def start_service(port: int) -> 'Popen[bytes]':
    """Start the simulated configuration service."""
    return Popen(
        [
            sys.executable,
            '-m',
            'tools.standins.config_service',
            '--port',
            str(port),
        ],
    )


async def wait_for_service(client: httpx.AsyncClient) -> None:
    """Wait until the service answers, for at most 10 s."""
    with anyio.fail_after(10):
        while not await _answers(client):
            await anyio.sleep(0.05)


async def _answers(client: httpx.AsyncClient) -> bool:
    try:
        await client.get('/control/reads')
    except httpx.HTTPError:
        return False
    return True


class Node:
    """The two tasks of one daemon, with messages delivered in memory."""

    def __init__(self, placed: PlacedVm, seeds: Iterable[PlacedVm]) -> None:
        self.placed = placed
        self.peers: dict[VmId, Node] = {}
        self.store = DocumentStore()
        identity = Identity(
            placed.vm.vm,
            Incarnation(1),
            placed.data_centre,
        )
        self.members = Members(identity, self.store.digest, random.Random(0))
        self.members.replace_published({seed.vm.vm: seed for seed in seeds})
        self.task = ConfigurationTask(
            self.store,
            DocumentSync(
                self.store,
                view_peers(self.members, identity),
                random.Random(),
            ),
            self._send,
            self._publish,
        )
        self._probing = MembershipTask(
            self.members,
            (HOST, placed.vm.inner_port),
            self._address_of,
            self._receive_digest,
        )

    async def run(self, url: str) -> None:
        """Run both tasks until cancelled."""
        async with ServiceClient(url) as client:
            async with anyio.create_task_group() as group:
                group.start_soon(self._probing.run)
                await self.task.run(client)

    def _send(self, vm: VmId, message: Documents | Pull) -> None:
        peer = self.peers.get(vm)
        if peer is None:
            return
        sender = self.placed.vm.vm
        if isinstance(message, Pull):
            peer.task.post(PullReceived(sender, message))
        else:
            peer.task.post(DocumentsReceived(sender, message))

    def _publish(self, topology: Topology) -> None:
        if topology.vms:
            self.members.replace_published(topology.vms)

    def _address_of(self, vm: VmId) -> tuple[str, int] | None:
        peer = self.peers.get(vm)
        return None if peer is None else (HOST, peer.placed.vm.inner_port)

    def _receive_digest(self, vm: VmId, digest: Digest) -> None:
        self.task.post(DigestHeard(vm, digest))


def start_nodes(number: int, url: str, group: TaskGroup) -> list[Node]:
    """Start nodes that know each other from their settings."""
    placed = [
        PlacedVm(
            Vm(
                vm=VmId('vm-{0}'.format(index)),
                host=HOST,
                inner_port=free_port(),
            ),
            DataCentreId('zdar'),
        )
        for index in range(number)
    ]
    nodes = [Node(own, placed) for own in placed]
    by_name = {node.placed.vm.vm: node for node in nodes}
    for node in nodes:
        node.peers = by_name
        group.start_soon(node.run, url)
    return nodes
