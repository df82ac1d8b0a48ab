"""Answers of the store that never come, in fleets of any size."""

import asyncio

import pytest

from tools.standins.platform.store import StoreMode

from .test_platform_nodes import QUERY, running, version_at

#: Bounds in the settings, ``stabilityWindowMs`` and ``configApplyMs``.
STABILITY_S = 4
IN_FORCE_S = 3


def uses(node, server):
    return node._replicas.replica(server) is not None


@pytest.mark.parametrize(
    ('vms', 'silence_s'), [(1, 0.15), (2, 0.15), (2, 0.5), (3, 0.5), (12, 0.15)]
)
def test_change_after_a_short_silence_is_in_force(tmp_path, vms, silence_s):
    """Regression: readers waited for a lost answer while changes came.

    In a fleet of one or two VMs all are readers, and none compared the
    store's revision with its own.
    """

    async def scenario():
        async with running(tmp_path, 60 + vms, vms=vms) as (platform, nodes):
            store = platform.store
            await asyncio.sleep(1)
            # After this change the readers begin long watches.
            platform.publish(5, [QUERY])
            await asyncio.sleep(1)
            store.mode = StoreMode.SILENT
            store.lose_answers()
            await asyncio.sleep(silence_s)
            store.lose_answers()
            store.mode = StoreMode.WELL
            await asyncio.sleep(STABILITY_S)
            platform.publish(6, [QUERY])
            leaving = platform.servers['i-1'].entry('s1', 'a')
            store.put('servers/i-1', {**leaving, 'state': 'draining'})
            await asyncio.sleep(IN_FORCE_S)
            assert {version_at(node) for node in nodes} == {6}
            assert not any(uses(node, 'i-1') for node in nodes)

    asyncio.run(scenario())
