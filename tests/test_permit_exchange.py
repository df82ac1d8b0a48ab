"""Permits of limited servers, replayed for fleets of any size.

The VMs, their messages and the server run on virtual time.
"""

from bisect import bisect_left
from collections import deque
from functools import partial
from random import Random
from types import MappingProxyType

import pytest

from dandelionstage.catalog.servers import ServerRecord, ServerState
from dandelionstage.operations.events import EventLog
from dandelionstage.placing.send_limit import SendLimit
from dandelionstage.placing.server_limits import ServerLimits
from dandelionstage.spread.members import Members
from dandelionstage.spread.permit_exchange import (
    ExchangeContext,
    PermitExchange,
)
from dandelionstage.spread.permit_messages import PREFIX

from .gateway_harness import ManualTimers

#: The rule: in any window of this length a server gets at most one and a half
#: times its limit, and five requests more.
WINDOW_MS = 4000.0
SETTLING_MS = 4000.0
END_MS = 40_000.0
NETWORK_MS = 2.0
ZONES = ('a', 'b', 'c')
RECORD = ServerRecord(
    server='i-1',
    service='s',
    host='10.9.0.1',
    port=1,
    data_centre='a',
    slots=2,
    state=ServerState.LIVE,
    started_ms=7,
)
START = ('i-1', 7)


class Seeker:
    """Pool of one VM that counts requests instead of sending them."""

    def __init__(self, fleet, exchange):
        self.record = RECORD
        self.limit = SendLimit()
        self.waiting = deque()
        self.refused = 0
        self._fleet = fleet
        self._exchange = exchange

    @property
    def unpermitted_count(self):
        return len(self.waiting)

    def submit(self):
        now_ms = self._fleet.timers.now_ms
        if self.limit.per_s:
            if self.limit.is_refused(now_ms):
                self.refused += 1
                return
            self.limit.record_demand(now_ms)
            if not self.limit.take(now_ms):
                self.waiting.append(now_ms)
                self._exchange.request(self)
                return
        self._fleet.arrived.append(now_ms)

    def send_permitted(self):
        now_ms = self._fleet.timers.now_ms
        while self.waiting and (
            not self.limit.per_s or self.limit.take(now_ms)
        ):
            self.waiting.popleft()
            self._fleet.arrived.append(now_ms)

    def refuse_unpermitted(self):
        self.refused += len(self.waiting)
        self.waiting.clear()


class Vm:
    """Exchange of one VM; a restart makes a new one with the same address."""

    def __init__(self, fleet, number, per_s):
        self.address = '10.0.{0}.{1}:1'.format(*divmod(number, 250))
        self.is_cut = False
        self.is_frozen = False
        self._inbox = []
        self._fleet = fleet
        random = fleet.random
        members = Members(self.address, fleet.zone_of(self.address))
        limits = ServerLimits()
        self.exchange = PermitExchange(
            self.address,
            members,
            limits,
            ExchangeContext(
                EventLog(len, lambda: fleet.timers.now_ms),
                random,
                lambda: fleet.timers.now_ms,
                self._call_later,
            ),
        )
        self.members = members
        self.limits = limits
        self.seeker = Seeker(fleet, self.exchange)
        limits.on_change = self._change
        self.exchange.send = lambda data, to: fleet.deliver(self, data, to)
        self.exchange.find_seeker = lambda server: self.seeker
        if per_s:
            limits.observe_limit(RECORD, per_s, fleet.timers.now_ms)

    def receive(self, datagram, sender):
        assert datagram.startswith(PREFIX)
        if self.is_frozen:
            self._inbox.append((datagram, sender))
        else:
            self.exchange.receive(datagram, sender)

    def thaw(self):
        self.is_frozen = False
        for datagram, sender in self._inbox:
            self.exchange.receive(datagram, sender)
        self._inbox.clear()

    def _call_later(self, wait_ms, action):
        def run():
            if self.is_frozen:
                self._call_later(10, action)
            else:
                action()

        return self._fleet.timers.call_later(wait_ms, run)

    def _change(self, start, per_s, is_own):
        self.seeker.limit.change(per_s)
        self.seeker.send_permitted()


class Fleet:
    """VMs in three data centres that all send to one server."""

    def __init__(self, count, per_s, *, seed=1, loss=0.01):
        self.timers = ManualTimers()
        self.random = Random(seed)
        self.arrived = []
        self.per_s = per_s
        self._loss = loss
        self.vms = []
        for number in range(count):
            self.vms.append(Vm(self, number, per_s))
        for vm in self.vms:
            self.introduce(vm)

    def zone_of(self, address):
        return ZONES[int(address.split(':')[0].rpartition('.')[2]) % 3]

    def introduce(self, vm):
        """Let a VM and the others know each other."""
        now_ms = self.timers.now_ms
        for other in self.vms:
            for one, two in ((vm, other), (other, vm)):
                one.members.record(
                    two.address,
                    self.zone_of(two.address),
                    now_ms,
                    has_store=True,
                )

    def restart(self, vm, *, told_after_ms=300):
        """Replace a VM by one that has forgotten everything."""
        number = self.vms.index(vm)
        self.vms[number] = Vm(self, number, 0)
        fresh = self.vms[number]

        def tell():
            self.introduce(fresh)
            fresh.limits.observe_limit(RECORD, self.per_s, self.timers.now_ms)

        self.timers.call_later(told_after_ms, tell)

    def deliver(self, sender, datagram, address):
        if self.random.random() >= self._loss:
            self.timers.call_later(
                NETWORK_MS, partial(self._arrive, sender, datagram, address)
            )

    def load(self, demand_per_s, end_ms=END_MS):
        """Let requests arrive at random VMs."""
        at_ms = self.timers.now_ms
        while at_ms < end_ms:
            at_ms += self.random.expovariate(demand_per_s / 1000)
            self.timers.call_later(
                at_ms - self.timers.now_ms, self._submit_somewhere
            )

    def issuers(self):
        addresses = self.vms[0].exchange.issuers_of(RECORD)
        return [vm for vm in self.vms if vm.address in addresses]

    def other_than_issuers(self):
        issuers = self.issuers()
        return next(each for each in self.vms if each not in issuers)

    def most_arrivals(self):
        times = [each for each in self.arrived if each >= SETTLING_MS]
        counts = (
            bisect_left(times, start_ms + WINDOW_MS) - first
            for first, start_ms in enumerate(times)
        )
        return max(counts, default=0)

    @property
    def allowed(self):
        return 1.5 * self.per_s * WINDOW_MS / 1000 + 5

    def _arrive(self, sender, datagram, address):
        for vm in self.vms:
            if vm.address == address and not (vm.is_cut or sender.is_cut):
                vm.receive(datagram, sender.address)

    def _submit_somewhere(self):
        vm = self.random.choice(self.vms)
        if not vm.is_frozen and not vm.is_cut:
            vm.seeker.submit()


def freeze(fleet, vm):
    vm.is_frozen = True
    fleet.timers.call_later(2500, vm.thaw)


def cut(fleet, vm):
    vm.is_cut = True
    fleet.timers.call_later(2500, partial(setattr, vm, 'is_cut', False))


FAULTS = MappingProxyType(
    {'freeze': freeze, 'cut': cut, 'restart': Fleet.restart}
)


@pytest.mark.parametrize('times', [0.8, 3, 20])
@pytest.mark.parametrize('per_s', [0.5, 5.0, 40.0])
@pytest.mark.parametrize('vms', [1, 3, 20, 200])
def test_all_vms_together_keep_a_servers_limit(vms, per_s, times):
    """Guards against a limit that each of many VMs keeps by itself only."""
    fleet = Fleet(vms, per_s)
    fleet.load(times * per_s)
    fleet.timers.advance(END_MS)
    assert fleet.most_arrivals() <= fleet.allowed


@pytest.mark.parametrize('vms', [1, 3, 20, 200])
def test_most_of_a_limit_is_used_when_there_is_work(vms):
    """Guards against permits that go to VMs without requests."""
    fleet = Fleet(vms, 10.0)
    fleet.load(30.0)
    fleet.timers.advance(END_MS)
    assert len(fleet.arrived) >= 0.6 * fleet.per_s * END_MS / 1000


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('vms', [3, 20, 200])
def test_limit_is_kept_while_issuers_fail(vms, fault, seed):
    """Guards against permits that are granted twice around a failure."""
    fleet = Fleet(vms, 8.0, seed=seed)
    fleet.load(40.0)
    for start_ms in range(6000, 30_000, 6000):
        fleet.timers.advance(start_ms)
        for vm in fleet.issuers():
            FAULTS[fault](fleet, vm)
    fleet.timers.advance(END_MS)
    assert fleet.most_arrivals() <= fleet.allowed


@pytest.mark.parametrize('vms', [3, 20, 200])
def test_limit_is_kept_after_all_vms_restart(vms):
    """A VM sends freely only until it has been told of the limit again."""
    fleet = Fleet(vms, 8.0)
    fleet.load(40.0)
    fleet.timers.advance(6000)
    for vm in tuple(fleet.vms):
        fleet.restart(vm)
    fleet.timers.advance(END_MS)
    fleet.arrived = [each for each in fleet.arrived if each > 6300]
    assert fleet.most_arrivals() <= fleet.allowed


def test_no_attempt_waits_long_for_an_issuer_that_is_gone():
    """Guards against requests that wait for a VM that will not reply."""
    fleet = Fleet(20, 10.0)
    for vm in fleet.issuers():
        vm.is_cut = True
    seeker = fleet.other_than_issuers().seeker
    fleet.timers.advance(5000)
    seeker.submit()
    fleet.timers.advance(5100)
    assert not seeker.waiting
    assert seeker.refused == 1


def test_repeated_grant_counts_once():
    """Guards against permits of a datagram that the network repeats."""
    fleet = Fleet(20, 10.0, loss=0)
    fleet.timers.advance(5000)
    asker = fleet.other_than_issuers()
    deliver = fleet.deliver

    def deliver_twice(sender, datagram, address):
        deliver(sender, datagram, address)
        deliver(sender, datagram, address)

    fleet.deliver = deliver_twice
    asker.seeker.submit()
    fleet.timers.advance(5100)
    assert len(fleet.arrived) == 1
    assert not asker.seeker.limit.take(5100)


def test_permit_expires():
    limit = SendLimit()
    limit.change(5)
    limit.add(1, 1000)
    assert not limit.take(1000)


def test_limit_of_another_start_of_the_server_is_not_applied():
    limits = ServerLimits()
    limits.observe_limit(RECORD, 5, 0)
    again = ServerRecord(
        **{
            **{name: getattr(RECORD, name) for name in RECORD.__slots__},
            'started_ms': 8,
        }
    )
    assert limits.per_s(RECORD) == 5
    assert not limits.per_s(again)


def test_reply_to_an_earlier_request_does_not_end_a_limit():
    limits = ServerLimits()
    limits.observe_limit(RECORD, 5, 100)
    limits.observe_no_limit(RECORD, 50, 120)
    assert limits.per_s(RECORD) == 5
    limits.observe_no_limit(RECORD, 110, 130)
    assert not limits.per_s(RECORD)


def test_older_report_does_not_bring_back_a_limit_that_ended():
    limits = ServerLimits()
    other = ServerLimits()
    limits.observe_limit(RECORD, 5, 100)
    other.observe_limit(RECORD, 5, 100)
    limits.observe_no_limit(RECORD, 110, 130)
    limits.apply_reports([other.report(START, 500)], 500)
    assert not limits.per_s(RECORD)
    other.apply_reports([limits.report(START, 600)], 600)
    assert not other.per_s(RECORD)


@pytest.mark.parametrize('data', [b'', b'x', b'\x93\x01\x02', b'\xc0'])
def test_unreadable_message_is_ignored(data):
    fleet = Fleet(3, 5.0)
    fleet.vms[0].exchange.receive(PREFIX + data, fleet.vms[1].address)
    assert fleet.vms[0].exchange.issuers_of(RECORD)
