"""Daemon processes follow the configuration service during its faults."""

import time
from collections.abc import Iterator

import httpx
import pytest

from tools.fleet.clients import base_url
from tools.fleet.faults import kill
from tools.fleet.fleet import Fleet
from tools.fleet.scenarios import bg_south

pytestmark = pytest.mark.process

_KEY = 'contract/vets'


@pytest.fixture(scope='module')
def fleet() -> Iterator[Fleet]:
    scenario = bg_south(data_centres=2, vms=2, shards=2, sync_shards=0)
    with Fleet(scenario) as started:
        yield started


def _ask(fleet: Fleet, vm: str) -> int:
    return httpx.post(
        '{0}/v1/query'.format(base_url(fleet.vms[vm].caller_port)),
        json={'workload': 'finder-desk', 'query': {'ring': 'A1'}},
        headers={'authorization': 'Bearer key-of-vets'},
        timeout=10,
    ).status_code


def _wait_for_status(fleet: Fleet, status: int) -> float:
    start_s = time.monotonic()
    while any(_ask(fleet, vm) != status for vm in fleet.vms):
        assert time.monotonic() < start_s + 2
    return time.monotonic() - start_s


def _publish(fleet: Fleet) -> None:
    contracts = [
        customer.contract()
        for customer in fleet.scenario.customers
        if customer.customer == 'vets'
    ]
    fleet.config.publish(_KEY, contracts[0])


def test_a_withdrawal_and_an_edit_are_in_force_within_the_limit(fleet):
    _wait_for_status(fleet, 200)
    fleet.config.withdraw(_KEY)
    _wait_for_status(fleet, 401)
    _publish(fleet)
    _wait_for_status(fleet, 200)


@pytest.mark.parametrize('mode', ['down', 'stale', 'older'])
def test_a_daemon_restarted_during_a_fault_serves_documents_of_its_peers(
    fleet,
    mode,
):
    fleet.config.withdraw(_KEY)
    _wait_for_status(fleet, 401)
    fleet.config.set_faults(mode=mode)
    vm = next(iter(fleet.vms))
    kill(fleet.members[vm])
    fleet.members[vm].start()
    fleet.wait_ready([vm])
    assert _ask(fleet, vm) == 401
    fleet.config.set_faults(mode='ok')
    _publish(fleet)
    _wait_for_status(fleet, 200)
