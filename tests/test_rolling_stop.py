"""All daemons replaced in turn under load: nothing fails, nothing is cut."""

import signal
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from functools import partial

import anyio
import httpx
import pytest

from tools.bench.load import offer
from tools.bench.outcomes import Ending
from tools.bench.streams import Stream
from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Scenario
from tools.fleet.scenarios import bg_south

pytestmark = pytest.mark.process

STOP_S = 30
#: Longer than an HTTP server waits for its requests by itself.
SERVICE_MS = 1500
DEADLINE_MS = 9000
RATE_PER_S = 4
LOAD_S = 60
ACTING_THREADS = 3


def slow_scenario() -> Scenario:
    """Describe a fleet that has much in flight at any moment."""
    scenario = bg_south(data_centres=2, vms=2, shards=4, sync_shards=0)
    return replace(
        scenario,
        workloads=tuple(
            replace(shape, service_ms=SERVICE_MS, slots=16)
            for shape in scenario.workloads
        ),
        customers=tuple(
            replace(customer, deadline_ms=DEADLINE_MS)
            for customer in scenario.customers
        ),
    )


def replace_all(fleet: Fleet) -> None:
    """Stop each daemon as planned and start it again, one after another."""
    for vm in fleet.vms:
        process = fleet.members[vm]
        process.signal(signal.SIGTERM)
        # A second signal must not cut what is in flight.
        process.signal(signal.SIGTERM)
        assert process.wait(STOP_S) == 0
        process.start()
        fleet.wait_ready([vm])


def act_until(fleet: Fleet, done) -> Counter:
    """Send one action after the other through any daemon that is ready."""
    runs: Counter = Counter()
    while not done():
        for place in fleet.layout.vms:
            runs[act(place)] += 1
    return runs


def act(place) -> str:
    try:
        ready = httpx.get(
            '{0}/readyz'.format(base_url(place.operator_port)),
        ).is_success
    except httpx.HTTPError:
        return 'passed by'
    if not ready:
        return 'passed by'
    reply = httpx.post(
        '{0}/v1/actions'.format(base_url(place.caller_port)),
        json={'workload': 'ringer-portal', 'action': {'letter': 'R1'}},
        headers={'authorization': 'Bearer key-of-finders'},
        timeout=10,
    )
    return str(reply.json()['run'])


def test_every_daemon_replaced_under_load():
    scenario = slow_scenario()
    desk = Stream('vets', scenario.key_of('vets'), 'finder-desk', RATE_PER_S)
    with Fleet(scenario) as fleet, ThreadPoolExecutor() as pool:
        replacing = pool.submit(replace_all, fleet)
        acting = [
            pool.submit(act_until, fleet, replacing.done)
            for _ in range(ACTING_THREADS)
        ]
        load = partial(offer, [desk], fleet.layout.vms, LOAD_S, 1)
        outcomes = anyio.run(load)
        replacing.result()
        runs = sum((thread.result() for thread in acting), Counter())
    endings = Counter(outcome.ending for outcome in outcomes)
    reasons = Counter(outcome.reason for outcome in outcomes)
    assert endings.keys() == {Ending.WHOLE}, (endings, reasons)
    assert runs.keys() <= {'ran', 'passed by'}, runs
    assert runs['ran']
