"""Catalogs of VMs that restart or return with an older view."""

import asyncio
import zlib
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from dandelionstage.catalog.catalog import Catalog, CatalogItem, Change
from dandelionstage.catalog.positions import StoreRevision
from dandelionstage.catalog.servers import (
    ServerId,
    ServerRecord,
    ServerState,
)
from dandelionstage.gateway.clock import now_ms
from dandelionstage.operations.events import EventLog
from dandelionstage.spread.frames import read_frame, write_frame
from dandelionstage.spread.members import Address
from dandelionstage.spread.messages import decode_pull_reply, encode
from dandelionstage.spread.pulls import (
    PullLimits,
    Puller,
    build_pull_reply,
)


def interpret(item):
    server = ServerId(item.key)
    if item.raw is None:
        return Change(removed_server=server)
    return Change(
        server=ServerRecord(
            server=server,
            service='s',
            host='127.0.0.1',
            port=1,
            data_centre='a',
            slots=2,
            state=ServerState.LIVE,
        )
    )


class Vm:
    """A VM's catalog that pulls from others."""

    def __init__(self):
        self.catalog = Catalog(interpret)
        self._puller = Puller(
            self.catalog,
            EventLog(len, now_ms),
            PullLimits.within(150),
            lambda: None,
        )

    @property
    def servers(self):
        return sorted(self.catalog.servers)

    def read(self, *changes):
        """Apply changes of the store, each a key, a revision and a value."""
        items = [
            CatalogItem(key, StoreRevision(revision), raw)
            for key, revision, raw in changes
        ]
        self.catalog.apply(items, items[-1].revision)

    def pull(self, other):
        if other.catalog.as_of > self.catalog.as_of:
            reply = build_pull_reply(other.catalog, self.catalog.as_of)
            self._puller._apply('peer', decode_pull_reply(encode(reply)))


OLD = (('i-1', 10, b'x'), ('i-2', 20, b'x'), ('i-3', 30, b'x'))


def test_restarted_vm_does_not_use_a_server_that_left():
    """Regression: the server was in use again, until the process ended.

    A restarted VM pulls from one that was cut off and still lists the server,
    then from one that was started after the server had left.
    """
    cut_off = Vm()
    cut_off.read(*OLD)
    started_later = Vm()
    started_later.read(OLD[0], OLD[2], ('i-4', 50, b'x'))
    restarted = Vm()
    restarted.pull(cut_off)
    assert restarted.servers == ['i-1', 'i-2', 'i-3']
    restarted.pull(started_later)
    assert restarted.servers == ['i-1', 'i-3', 'i-4']
    cut_off.pull(started_later)
    assert cut_off.servers == ['i-1', 'i-3', 'i-4']


def test_server_that_left_while_a_vm_lacked_the_history_is_removed_elsewhere():
    """Regression: a VM that read all items claimed to know every removal.

    The server came and left between its reads; another VM had seen it come.
    """
    reader = Vm()
    reader.read(*OLD)
    witness = Vm()
    witness.read(*OLD)
    witness.read(('i-9', 40, b'x'))
    reader.catalog.note_complete_read(StoreRevision(60))
    reader.read(('i-4', 60, b'x'))
    witness.pull(reader)
    assert witness.servers == ['i-1', 'i-2', 'i-3', 'i-4']


def test_removal_is_passed_on_by_a_vm_that_saw_it():
    witness = Vm()
    witness.read(*OLD)
    witness.read(('i-2', 40, None))
    other = Vm()
    other.read(*OLD)
    reply = build_pull_reply(witness.catalog, StoreRevision(30))
    assert not reply.is_full
    assert [item.key for item in reply.items] == ['i-2']
    other.pull(witness)
    assert other.servers == ['i-1', 'i-3']


def test_vm_cut_off_longer_than_removals_are_remembered(monkeypatch):
    monkeypatch.setattr('dandelionstage.catalog.catalog._MAX_KEPT_REMOVALS', 2)
    cut_off = Vm()
    cut_off.read(*OLD)
    connected = Vm()
    connected.read(*OLD)
    connected.read(('i-1', 40, None))
    connected.read(('i-5', 50, b'x'), ('i-5', 51, None))
    connected.read(('i-6', 60, b'x'), ('i-6', 61, None))
    cut_off.pull(connected)
    assert cut_off.servers == ['i-2', 'i-3']


@pytest.mark.parametrize('newest', [35, 60])
def test_full_reply_removes_nothing_that_is_newer(newest):
    """What the receiver learned after the reply was made stays."""
    started_later = Vm()
    started_later.read(OLD[0], ('i-4', 50, b'x'))
    receiver = Vm()
    receiver.read(*OLD)
    reply = build_pull_reply(started_later.catalog, receiver.catalog.as_of)
    assert reply.is_full
    receiver.read(('i-7', newest, b'x'))
    receiver._puller._apply('peer', reply)
    assert ('i-7' in receiver.servers) is (newest > 50)


class Peer:
    """A VM that answers pulls, or takes connections and never replies."""

    def __init__(self, vm=None):
        self.vm = vm
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        await read_frame(reader, 256)
        if self.vm is None:
            await asyncio.Event().wait()
        reply = build_pull_reply(self.vm.catalog, StoreRevision(0))
        write_frame(writer, zlib.compress(encode(reply)))
        await writer.drain()
        writer.close()

    def close(self):
        """Close the connections that have no reply."""
        for writer in self.writers:
            writer.close()


@asynccontextmanager
async def listening(*peers):
    async with AsyncExitStack() as stack:
        addresses = []
        for peer in peers:
            server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
            stack.callback(server.close)
            stack.callback(peer.close)
            port = server.sockets[0].getsockname()[1]
            addresses.append(Address('127.0.0.1:{0}'.format(port)))
        yield addresses
    await asyncio.sleep(0.01)


@pytest.mark.parametrize('silent', [1, 2])
def test_vms_that_never_reply_do_not_hold_up_a_pull(silent):
    """Regression: each VM that had died just before cost 2 s."""

    async def scenario():
        newer = Vm()
        newer.read(*OLD)
        peers = [*(Peer() for _ in range(silent)), Peer(newer)]
        receiver = Vm()
        async with listening(*peers) as addresses:
            for older_by, address in enumerate(addresses):
                receiver._puller.pull_if_newer(address, 1000 - older_by)
            async with asyncio.timeout(1 if silent == 1 else 3):
                while not receiver.servers:
                    await asyncio.sleep(0.02)
            receiver._puller.cancel()
        assert receiver.servers == newer.servers

    asyncio.run(scenario())


def test_vm_that_is_slow_to_reply_is_not_asked_again_meanwhile():
    """Guards a VM in trouble against the load of repeated pulls."""

    async def scenario():
        silent = Peer()
        receiver = Vm()
        async with listening(silent) as addresses:
            for _ in range(10):
                receiver._puller.pull_if_newer(addresses[0], 1000)
                await asyncio.sleep(0.1)
            receiver._puller.cancel()
        assert len(silent.writers) == 1

    asyncio.run(scenario())
