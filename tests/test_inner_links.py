"""Links report every call that gets no reply, and give up silent peers."""

from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from dandelionstage.inner.framing import encode_frame
from dandelionstage.inner.link import LinkEnd, LinkHandlers
from dandelionstage.inner.link_table import LinkTable
from dandelionstage.inner.messages import Hello, pack
from dandelionstage.inner.peers import PeerLinks
from dandelionstage.model.contract import Priority
from dandelionstage.model.messages import (
    OwnerKey,
    Pin,
    SubReply,
    SubRequest,
)
from dandelionstage.model.verdict import Reason, Run, Verdict

pytestmark = pytest.mark.anyio

REQUEST = SubRequest(
    'call-1',
    'request-1',
    'desk',
    OwnerKey('finder-desk', 's1', 'plovdiv-a'),
    Pin('snap-1', 1),
    ('b1',),
    Priority.URGENT,
    50.0,
    '{}',
)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Recorder:
    """Notes what a link tells its owner, and wakes whoever waits for it."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.lost = []
        self.ends = []
        self.received = []
        self.happened = anyio.Event()
        self.on_message: Callable = lambda link, message: None

    def table(self, vm: str, version: int = 1) -> LinkTable:
        handlers = LinkHandlers(
            message=self._take,
            lost=lambda link, call, sent: self.lost.append((call, sent)),
            ended=lambda link, end: self._note(self.ends, end),
        )
        greeting = Hello(vm, 1, 'plovdiv-a', version)
        return LinkTable(greeting, handlers, lambda: self.now_ms)

    async def until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(5):
            while not condition():
                self.happened = anyio.Event()
                await self.happened.wait()

    def _take(self, link, message):
        self._note(self.received, message)
        self.on_message(link, message)

    def _note(self, log, entry):
        log.append(entry)
        self.happened.set()


@asynccontextmanager
async def listening(handle):
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        yield listener.extra(anyio.abc.SocketAttribute.local_address)
        group.cancel_scope.cancel()


async def test_call_and_reply():
    here, there = Recorder(), Recorder()
    reply = SubReply('call-1', Verdict(Run.RAN, Reason.OK), 'vm-2')
    there.on_message = lambda link, message: link.post(reply)
    async with PeerLinks(there.table('vm-2'), lambda vm: None) as server:
        async with listening(server.accept) as address:
            async with PeerLinks(here.table('vm-1'), lambda vm: address) as me:
                me.send('vm-2', REQUEST)
                await here.until(lambda: here.received)
    assert here.received == [reply]
    assert there.received == [REQUEST]
    assert here.lost == []


async def test_unreachable_peer_never_saw_the_call():
    here = Recorder()
    async with PeerLinks(here.table('vm-1'), lambda vm: None) as me:
        me.send('vm-2', REQUEST)
        await here.until(lambda: here.ends)
    assert here.lost == [(REQUEST, False)]


async def test_silent_peer_is_given_up_and_may_have_seen_the_call():
    here = Recorder()
    got_bytes = anyio.Event()

    async def swallow(stream):
        await stream.receive()
        got_bytes.set()
        await anyio.sleep_forever()

    async with listening(swallow) as address:
        table = here.table('vm-1')
        async with PeerLinks(table, lambda vm: address) as me:
            me.send('vm-2', REQUEST)
            await got_bytes.wait()
            here.now_ms = 1001
            table.check()
            await here.until(lambda: here.ends)
    assert here.ends == [LinkEnd.SILENT]
    assert here.lost == [(REQUEST, True)]


async def test_other_version_is_refused():
    here, there = Recorder(), Recorder()
    async with PeerLinks(there.table('vm-2', 9), lambda vm: None) as server:
        async with listening(server.accept) as address:
            async with PeerLinks(here.table('vm-1'), lambda vm: address) as me:
                me.send('vm-2', REQUEST)
                await here.until(lambda: here.ends)
    assert here.ends == [LinkEnd.VERSION_MISMATCH]
    assert [call for call, _ in here.lost] == [REQUEST]


async def test_another_daemon_at_the_address_is_noticed():
    here, there = Recorder(), Recorder()
    async with PeerLinks(there.table('vm-3'), lambda vm: None) as server:
        async with listening(server.accept) as address:
            async with PeerLinks(here.table('vm-1'), lambda vm: address) as me:
                me.send('vm-2', REQUEST)
                await here.until(lambda: here.ends)
    assert here.ends == [LinkEnd.NOT_REACHED]


async def test_bad_bytes_end_only_their_own_link():
    there = Recorder()
    async with PeerLinks(there.table('vm-2'), lambda vm: None) as server:
        async with listening(server.accept) as address:
            good = await anyio.connect_tcp(*address)
            bad = await anyio.connect_tcp(*address)
            async with good, bad:
                await bad.send(b'\x00\x00\x00\x04oops')
                await there.until(lambda: there.ends)
                await good.send(b''.join(map(encode_frame, pack([REQUEST]))))
                await there.until(lambda: there.received)
    assert there.ends[0] is LinkEnd.BAD_FRAME
    assert there.received == [REQUEST]
