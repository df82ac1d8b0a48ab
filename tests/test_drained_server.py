"""A drained backend server gets work again only after a restart."""

import signal
import time

import httpx
import pytest

from tools.fleet.clients import base_url
from tools.fleet.fleet import Fleet
from tools.fleet.scenarios import bg_south

pytestmark = pytest.mark.process

SHARD = 'finder-desk-01'
SERVERS = (f'{SHARD}.a', f'{SHARD}.b')
PATIENCE_S = 15


def ask(fleet):
    port = fleet.vms['plovdiv-a.1'].caller_port
    return httpx.post(
        '{0}/v1/query'.format(base_url(port)),
        json={'workload': 'finder-desk', 'query': {'ring': 'A1'}},
        headers={'authorization': 'Bearer key-of-vets'},
        timeout=10,
    ).json()


def starts(fleet, server):
    with fleet.backend(server) as control:
        return len([one for one in control.log() if one['event'] == 'start'])


def test_restarted_server_is_taken_back_and_a_drained_one_is_not():
    scenario = bg_south(
        data_centres=1,
        vms=2,
        shards=2,
        sync_shards=0,
        apart=(SHARD,),
    )
    with Fleet(scenario) as fleet:
        for server in SERVERS:
            with fleet.backend(server) as control:
                control.set_faults(draining=True)
        assert ask(fleet)['coverage']['missing'] == [SHARD]
        # The list and the server's own word that it no longer drains come
        # from the same incarnation, so they are not believed.
        drained, restarted = SERVERS
        with fleet.backend(drained) as control:
            control.set_faults(draining=False)
        fleet.members[restarted].signal(signal.SIGKILL)
        fleet.members[restarted].wait(PATIENCE_S)
        fleet.members[restarted].start()
        before = starts(fleet, drained)
        deadline_s = time.monotonic() + PATIENCE_S
        while not ask(fleet)['coverage']['complete']:
            assert time.monotonic() < deadline_s
        assert starts(fleet, restarted)
        assert starts(fleet, drained) == before
