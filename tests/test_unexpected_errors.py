"""An unexpected error or malformed message costs only itself."""

import asyncio
import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionstage.gateway.clock import now_ms
from dandelionstage.gateway.single_run import SingleRun
from dandelionstage.operations.events import EventLog
from dandelionstage.operations.supervision import start_supervised
from dandelionstage.placing.budget_loans import Loan
from dandelionstage.relaying.relay_connection import RelayConnection
from dandelionstage.gateway.read_limits import ReadBudget
from dandelionstage.spread.messages import (
    PROTOCOL,
    Hello,
    KnownMember,
    decode_hello,
    decode_pull_reply,
    decode_pull_request,
    encode,
)

from .gateway_harness import GatewayHarness, make_request, single_route
from .test_gateway_connections import FakeTransport
from .test_platform_nodes import (
    QUERY,
    is_usable,
    request_path,
    running,
    version_at,
)


def hello(**changes):
    fields = {
        'protocol': PROTOCOL,
        'vm': '10.0.0.1:7380',
        'data_centre': 'a',
        'as_of': 1,
        'has_store': True,
        'is_leaving': False,
        'wants_reply': False,
        'known': [KnownMember('10.0.0.2:7380', 'a', 10, has_store=True)],
        'slow': [],
        'asked_ms': None,
        'loan': None,
    }
    return encode(Hello(**{**fields, **changes}))


class InjectedError(Exception):
    """An error that nobody expects."""


def test_valid_hello_is_decoded():
    loan = Loan(0.5, 1000)
    assert decode_hello(hello(loan=loan)).loan == loan


@pytest.mark.parametrize(
    'changes',
    [
        {'vm': 'nowhere'},
        {'vm': '10.0.0.1:port'},
        {'vm': ''},
        {'known': [KnownMember('x:y', 'a', 1, has_store=True)]},
        {'known': [KnownMember('10.0.0.2:1', 'a', -5000, has_store=True)]},
        {'loan': Loan(1000, 1e12)},
        {'loan': Loan(float('nan'), 1000)},
        {'loan': Loan(-1, 1000)},
        {'store_failed_age_ms': -1},
        {'store_answered_age_ms': -1},
    ],
)
def test_hello_that_cannot_be_true_is_refused(changes):
    """Regression: an address without a port ended the gossip of each VM."""
    with pytest.raises(ValueError):
        decode_hello(hello(**changes))


@given(st.binary(max_size=200))
def test_arbitrary_datagrams_raise_only_what_is_handled(datagram):
    for decode in (decode_hello, decode_pull_reply, decode_pull_request):
        with contextlib.suppress(msgspec.MsgspecError, ValueError):
            decode(datagram)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_between_vms_cost_one_connection(received):
    reasons = []
    connection = RelayConnection(
        lambda *_: None, lambda _, reason: reasons.append(reason), ReadBudget()
    )
    connection.connection_made(FakeTransport())
    connection.data_received(received)
    connection.data_received(b'\x00\x00\x00\x04junk')
    connection.connection_lost(None)
    assert len(reasons) == 1


def test_gossip_goes_on_after_malformed_datagrams(tmp_path):
    async def scenario():
        async with running(tmp_path, 71, vms=2) as (platform, nodes):
            for spread in (nodes[0]._sources.spread, nodes[1]._sources.spread):
                spread.receive(hello(vm='nowhere'))
                spread.receive(b'\xff' * 50)
            await asyncio.sleep(1)
            platform.publish(4, [QUERY])
            await platform.until(
                lambda: all(version_at(node) == 4 for node in nodes), 3
            )

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('find_target', 'name'),
    [
        (lambda node: node._sources._reader, '_set_role'),
        (lambda node: node._sources.spread, '_choose_alive'),
        (lambda node: node._isolation, '_record_heard'),
    ],
)
def test_tasks_are_run_again_after_an_unexpected_error(
    tmp_path, monkeypatch, find_target, name
):
    """Regression: the task ended without a line, and with it its work."""

    async def scenario():
        async with running(tmp_path, 72, vms=2) as (platform, nodes):
            kind = type(find_target(nodes[0]))
            working = getattr(kind, name)

            def broken(*arguments, **named):
                raise InjectedError

            with monkeypatch.context() as patched:
                patched.setattr(kind, name, broken)
                await platform.until(
                    lambda: all(
                        node._log.counts.events['task_failed'] for node in nodes
                    ),
                    3,
                )
            assert getattr(kind, name) is working
            platform.publish(4, [QUERY])
            await platform.until(
                lambda: all(version_at(node) == 4 for node in nodes), 5
            )
            assert all(map(is_usable, nodes))
            answer = await request_path(nodes[0], '/q/x')
            assert answer.status_code == 200

    asyncio.run(scenario())


def test_supervised_task_can_be_cancelled():
    async def scenario():
        task = start_supervised(
            'sleeper', lambda: asyncio.sleep(60), EventLog(len, now_ms)
        )
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())


def test_order_of_a_caller_that_left_is_dropped_at_its_deadline():
    """A server that never answers would keep the connection for good."""
    harness = GatewayHarness({'s': 1})
    run = harness.start(SingleRun, single_route(), make_request())
    pool = harness.pools['s-0']
    run.cancel()
    harness.timers.advance(1400)
    assert not pool.abandoned
    harness.timers.advance(1600)
    assert len(pool.abandoned) == 1
    assert not harness.answers
