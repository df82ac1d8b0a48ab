"""What is out at a VM that relays: lost one by one, or all with the VM."""

from dandelionstage.gateway.attempt import Attempt, Reply
from dandelionstage.gateway.request_schedule import RequestSchedule
from dandelionstage.gateway.relays import RelayedQuery
from dandelionstage.relaying.messages import Drop, Part, Parts, Taken
from dandelionstage.relaying.relay_vm import RelayTools, RelayVm

from .gateway_harness import GatewayHarness, gather_route, make_request

ANSWER_MS = 40.0
PACE = RequestSchedule(
    hedge_delay_ms=18.0, answer_ms=ANSWER_MS, end_ms=900.0, deadline_ms=900.0
)


class LinkStub:
    def __init__(self):
        self.sent = []
        self.closed = []

    def send(self, message):
        self.sent.append(message)

    def close(self, reason):
        self.closed.append(reason)


class Entry:
    """The VM that has the queries, and its connection to one relay."""

    def __init__(self):
        world = GatewayHarness({})
        self.timers = world.timers
        self.link = LinkStub()
        tools = RelayTools(
            world.context.now_ms, world.context.call_later, world.log
        )
        self.relay = RelayVm('10.0.0.2:1', ('10.0.0.2', 1), tools)
        self.relay._link = self.link
        self.endings = {}

    def ask(self, shard):
        attempt = Attempt(
            '',
            b'r1',
            lambda left_ms: b'',
            lambda ended, ending: self.endings.update({shard: ending}),
        )
        query = RelayedQuery(
            make_request(),
            gather_route((shard,)),
            PACE,
            {shard: attempt},
            lambda service, tried, is_all: None,
        )
        self.relay.ask(query)

    def hear(self, message):
        self.relay._receive(self.link, message)


def test_a_busy_vm_loses_only_the_query_that_it_did_not_take():
    """Load pattern: a small core at work on one query as another comes."""
    entry = Entry()
    entry.ask('s1')
    entry.hear(Taken(0, is_taken=True))
    entry.timers.advance(5)
    entry.ask('s2')
    entry.timers.advance(30)
    assert entry.endings.keys() == {'s2'}
    assert Drop(1) in entry.link.sent
    entry.hear(Parts(0, [Part('s1', 'stamp', b'')], {}, True, True))
    assert isinstance(entry.endings['s1'], Reply)
    entry.timers.advance(500)
    assert not entry.link.closed


def test_a_connection_that_stays_silent_is_closed():
    entry = Entry()
    entry.ask('s1')
    entry.timers.advance(30)
    assert not entry.link.closed
    entry.timers.advance(400)
    assert entry.link.closed == ['silent']


def test_a_vm_that_does_not_say_what_it_tried_has_failed():
    entry = Entry()
    entry.ask('s1')
    entry.hear(Taken(0, is_taken=True))
    entry.timers.advance(ANSWER_MS)
    assert not entry.endings
    entry.timers.advance(ANSWER_MS + 60)
    assert entry.endings.keys() == {'s1'}
