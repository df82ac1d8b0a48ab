"""The published lists of the fleet to come."""

import json
from collections.abc import Iterator
from typing import Any, Final

from dandelionstage.model.documents import Document
from dandelionstage.model.ids import DocumentKey, Revision

__all__ = ('FLEET_BACKENDS', 'FLEET_VMS', 'make_documents')

FLEET_BACKENDS: Final = 51_000
FLEET_VMS: Final = 6700
_DATA_CENTRES: Final = 21
_SHARDS: Final = 62
_HOST: Final = '10.0.{0}.{1}'
_HOSTS: Final = 250


def make_documents(share: float) -> Iterator[Document]:
    """Write the lists of a part of the fleet to come, 0 to 1."""
    per_centre = int(FLEET_BACKENDS * share / _DATA_CENTRES)
    vms = int(FLEET_VMS * share / _DATA_CENTRES)
    for centre in range(_DATA_CENTRES):
        name = 'dc-{0}'.format(centre)
        yield _document('backends', name, backends=_backends(name, per_centre))
        yield _document('vms', name, vms=_vms(name, vms))


def _document(kind: str, name: str, **body: Any) -> Document:
    return Document(
        DocumentKey('{0}/{1}'.format(kind, name)),
        Revision(1),
        json.dumps({'data_centre': name, **body}).encode(),
    )


def _backends(centre: str, count: int) -> list[dict[str, Any]]:
    return [
        {
            'backend': '{0}.shard-{1:02d}.{2}'.format(
                centre,
                number % _SHARDS,
                number,
            ),
            'host': _HOST.format(*divmod(number, _HOSTS)),
            'port': 8080,
            'slots': 2,
            'max_connections': 50,
        }
        for number in range(count)
    ]


def _vms(centre: str, count: int) -> list[dict[str, Any]]:
    return [
        {
            'vm': '{0}.{1}'.format(centre, number),
            'host': _HOST.format(*divmod(number, _HOSTS)),
            'inner_port': 7400,
        }
        for number in range(count)
    ]
