"""The end of a daemon: its tasks are over before what they use is closed."""

from types import SimpleNamespace

import anyio
import pytest

from dandelionstage.daemon import daemon as daemon_module

#: Turns of the event loop that closing a client takes here.
CLOSING_TURNS = 5


class ServiceStub:
    """Takes some turns to close, as connections do, and notes late reads."""

    def __init__(self):
        self.is_closed = False
        self.reads = 0
        self.late_reads = 0

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        self.is_closed = True
        for _ in range(CLOSING_TURNS):
            # A task that is still running has its turn meanwhile.
            await anyio.lowlevel.cancel_shielded_checkpoint()

    async def read(self):
        self.reads += 1
        self.late_reads += self.is_closed
        await anyio.lowlevel.checkpoint()


class DaemonStub:
    """Reads without a pause, as a task does that has much to catch up."""

    def __init__(self, node, settings, group, client):
        self._client = client

    def start(self, group):
        group.start_soon(self._read_on)

    async def listen(self):
        while not self._client.reads:
            await anyio.lowlevel.checkpoint()

    async def _read_on(self):
        while True:
            await self._client.read()


class PeersStub:
    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        await anyio.lowlevel.cancel_shielded_checkpoint()


@pytest.fixture
def service(monkeypatch):
    stub = ServiceStub()
    peers = SimpleNamespace(peers=PeersStub())
    monkeypatch.setattr(daemon_module, 'ServiceClient', lambda url: stub)
    monkeypatch.setattr(daemon_module, 'service_url', lambda settings: '')
    monkeypatch.setattr(daemon_module, 'Node', lambda settings, group: peers)
    monkeypatch.setattr(daemon_module, '_Daemon', DaemonStub)
    return stub


def test_the_service_is_not_read_after_it_was_closed(service):
    anyio.run(daemon_module.run_daemon, None)
    assert service.is_closed
    assert service.reads
    assert not service.late_reads
