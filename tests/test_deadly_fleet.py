"""Retries of a deadly request that fleets of VMs let through, replayed.

VMs tell each other over a network with delays and losses; the request returns
at random VMs, in bursts and after pauses, while VMs start and are cut off.
"""

from functools import partial
from random import Random

import pytest

from dandelionstage.operations.events import EventLog
from dandelionstage.placing.deadly_requests import (
    CLAIM_MS,
    DeadlyRequests,
    Verdict,
)
from dandelionstage.spread.deadly_exchange import DeadlyExchange
from dandelionstage.spread.permit_exchange import ExchangeContext

from .gateway_harness import ManualTimers

DIGEST = b'd' * 16
WORK_MS = 50
SHARDS = 20
ROUND_MS = 500
MAX_DELAY_MS = 30
LOST_FRACTION = 0.02
#: A VM is judged once it ran and could reach others for this long.
SETTLING_MS = 4000
MAX_RETRIES = 3
LENGTH_MS = 60_000


class Vm:
    """One VM: what it knows, and what it sends of the request."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.away_until_ms = float('-inf')
        self.restart()

    def restart(self):
        fleet = self.fleet
        reachable_ms = max(fleet.timers.now_ms, self.away_until_ms)
        self.settled_ms = reachable_ms + SETTLING_MS
        self.deadly = DeadlyRequests(Random(fleet.random.random()))
        log = EventLog(len, lambda: fleet.timers.now_ms)
        self.exchange = DeadlyExchange(
            fleet.members_of(self),
            self.deadly,
            ExchangeContext(
                log,
                fleet.random,
                lambda: fleet.timers.now_ms,
                fleet.timers.call_later,
            ),
        )
        self.exchange.send = self.send
        # It asks some VMs for what they know.
        for other in fleet.random.sample(fleet.vms, min(3, len(fleet.vms))):
            other.exchange.send_to(self.number)

    def send(self, message, number):
        self.fleet.deliver(self, number, message)

    def be_away(self, for_ms):
        """Exchange no messages for some time."""
        until_ms = self.fleet.timers.now_ms + for_ms
        self.away_until_ms = max(self.away_until_ms, until_ms)
        self.settled_ms = self.away_until_ms + SETTLING_MS

    @property
    def is_away(self):
        return self.fleet.timers.now_ms < self.away_until_ms

    def take(self):
        """Treat one arrival of the request as a gateway does."""
        now_ms = self.fleet.timers.now_ms
        verdict = self.deadly.verdict(DIGEST, now_ms)
        if verdict is Verdict.UNSUSPECTED:
            self.run(SHARDS)
        elif verdict is Verdict.SUSPECT:
            self.deadly.claim_trial(DIGEST, now_ms)
            self.fleet.timers.call_later(CLAIM_MS, self.try_claimed)

    def try_claimed(self):
        now_ms = self.fleet.timers.now_ms
        if self.deadly.may_try(DIGEST, now_ms):
            self.deadly.begin_trial(DIGEST, now_ms)
            self.run(1)

    def run(self, servers):
        sent_ms = self.fleet.timers.now_ms
        self.fleet.record_sent(self, sent_ms, servers)
        self.fleet.timers.call_later(
            WORK_MS, lambda: self.lose(servers, sent_ms)
        )

    def lose(self, servers, sent_ms):
        now_ms = self.fleet.timers.now_ms
        self.fleet.ended_ms.extend(now_ms for _ in range(servers))
        self.deadly.record_end(DIGEST, servers, sent_ms, now_ms)
        if self.deadly.verdict(DIGEST, now_ms) is Verdict.SUSPECT:
            self.deadly.begin_trial(DIGEST, now_ms)
            self.run(1)


class Members:
    def __init__(self, fleet, own):
        self._fleet = fleet
        self._own = own

    def alive(self, now_ms):
        return [vm.number for vm in self._fleet.vms if vm is not self._own]


class Fleet:
    def __init__(self, size, seed):
        self.timers = ManualTimers()
        self.random = Random(seed)
        self.vms = []
        self.sent = []
        self.ended_ms = []
        for number in range(size):
            self.vms.append(Vm(self, number))

    def members_of(self, vm):
        return Members(self, vm)

    def deliver(self, sender, number, message):
        receiver = self.vms[number]
        is_lost = self.random.random() < LOST_FRACTION
        if sender.is_away or receiver.is_away or is_lost:
            return
        self.timers.call_later(
            self.random.uniform(1, MAX_DELAY_MS),
            lambda: receiver.is_away or receiver.exchange.receive(message),
        )

    def record_sent(self, vm, sent_ms, servers):
        if sent_ms >= vm.settled_ms:
            self.sent.append((sent_ms, servers))

    def begin_rounds(self, vm):
        def play_round():
            others = Members(self, vm).alive(0)
            if others:
                vm.exchange.send_to(self.random.choice(others))
            self.timers.call_later(ROUND_MS, play_round)

        self.timers.call_later(self.random.uniform(0, ROUND_MS), play_round)

    def play(self, arrivals_ms, troubles):
        for vm in self.vms:
            vm.settled_ms = 0
            self.begin_rounds(vm)
        for at_ms in arrivals_ms:
            self.timers.call_later(at_ms, partial(self.act, Vm.take))
        for at_ms, trouble in troubles:
            self.timers.call_later(at_ms, partial(self.act, trouble))
        self.timers.advance(LENGTH_MS)

    def act(self, action):
        action(self.random.choice(self.vms))

    @property
    def late_retries(self):
        """Retries by settled VMs after the third server has ended."""
        from_ms = sorted(self.ended_ms)[2] + SETTLING_MS
        return sum(sent_ms > from_ms for sent_ms, _ in self.sent)

    @property
    def server_count(self):
        """Servers to which settled VMs have sent the request."""
        return sum(servers for _, servers in self.sent)


def burst(start_ms, count, gap_ms):
    return [start_ms + each * gap_ms for each in range(count)]


@pytest.mark.parametrize('size', [1, 3, 20, 200])
@pytest.mark.parametrize('seed', range(5))
def test_few_retries_pass_at_any_number_of_vms(size, seed):
    """Guards against a request that is new to each VM at which it returns."""
    random = Random(seed)
    arrivals_ms = [
        1000,
        *burst(6000, 30, 7),
        *burst(15_000, 30, 100),
        *sorted(random.uniform(20_000, LENGTH_MS) for _ in range(100)),
    ]
    troubles = []
    # At most about a third of the VMs are in trouble at a time.
    for at_ms in range(500, LENGTH_MS, max(600, 18_000 // size)):
        away_ms = random.uniform(500, 6000)
        troubles += [
            (at_ms, Vm.restart),
            (at_ms + 300, partial(Vm.be_away, for_ms=away_ms)),
        ]
    fleet = Fleet(size, seed)
    # The one VM of the smallest fleet would forget all that is known.
    fleet.play(arrivals_ms, troubles if size > 1 else [])
    assert fleet.late_retries <= MAX_RETRIES
    # It was found out by a few servers.
    assert fleet.server_count <= SHARDS + 2 + MAX_RETRIES
