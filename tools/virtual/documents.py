"""Published documents for fleets on virtual time."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any, Final

from dandelionstage.configuration.topology import PlacedVm
from dandelionstage.membership.roster import PublishedVms
from dandelionstage.model.ids import DataCentreId, VmId
from dandelionstage.model.topology import Vm

__all__ = ('contract_json', 'list_vms', 'vms_json')

_PORT: Final = 7400
_DIGEST: Final = hashlib.sha256(b'key').hexdigest()


def list_vms(sizes: Mapping[str, int]) -> dict[VmId, PlacedVm]:
    """List so many VMs in each data centre."""
    return {
        VmId('{0}-{1}'.format(data_centre, number)): PlacedVm(
            Vm(
                vm=VmId('{0}-{1}'.format(data_centre, number)),
                host='127.0.0.1',
                inner_port=_PORT,
            ),
            DataCentreId(data_centre),
        )
        for data_centre, size in sizes.items()
        for number in range(size)
    }


def vms_json(vms: PublishedVms, data_centre: DataCentreId) -> bytes:
    """Write the published list of one data centre."""
    listed = [
        placed.vm.model_dump(mode='json')
        for placed in vms.values()
        if placed.data_centre == data_centre
    ]
    return _encode({'data_centre': data_centre, 'vms': listed})


def contract_json(customer: str, p99_ms: int = 100) -> bytes:
    """Write a contract; an invalid one if ``p99_ms`` is not positive."""
    return _encode(
        {
            'customer': customer,
            'workloads': ['finder-desk'],
            'p99_ms': p99_ms,
            'deadline_ms': 1000,
            'minimum_coverage': 0.5,
            'work_per_s': 1000,
            'priority': 'interactive',
            'key_digests': [_DIGEST],
        },
    )


def _encode(body: Any) -> bytes:
    return json.dumps(body, sort_keys=True, separators=(',', ':')).encode()
