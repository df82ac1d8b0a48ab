"""Rewritten deployments stay whole and differ from what they came from."""

import copy
from types import MappingProxyType

import pytest

from tools.rewrite_site import VARIANTS, rewrite

SITE = MappingProxyType(
    {
        'name': 'site',
        'zones': [{'name': 'a'}, {'name': 'b'}],
        'machines': [
            {'zone': 'a', 'count': 4, 'cpu_share': 0.5},
            {'zone': 'b', 'count': 3, 'cpu_share': 0.5},
        ],
        'services': [
            {
                'slots': 2,
                'conn_cap': 52,
                'handshake_ms': 6.0,
                'servers': [{'zone': 'b', 'count': 1}],
            },
        ],
        'bounds': {'budget_slack': 100.0, 'drain_ms': 3000},
        'day': [{'faults': [{'kind': 'zone_cut', 'zone': 'b'}]}],
    }
)


@pytest.mark.parametrize('variant', VARIANTS)
def test_variant_names_only_data_centres_that_are_there(variant):
    before = copy.deepcopy(dict(SITE))
    after = rewrite(copy.deepcopy(dict(SITE)), variant)
    zones = {zone['name'] for zone in after['zones']}
    fault = after['day'][0]['faults'][0]
    assert fault['zone'] in zones
    assert {machine['zone'] for machine in after['machines']} <= zones
    assert after != before
    assert after['name'] == 'site-{0}'.format(variant)
