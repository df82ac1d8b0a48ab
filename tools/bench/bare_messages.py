"""What the bare scatter sends."""

from typing import Final

from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import (
    BackendId,
    CallId,
    CustomerId,
    DataCentreId,
    RequestId,
    Revision,
    ShardId,
    SnapshotId,
    WorkloadId,
)
from dandelionstage.model.messages import OwnerKey, Pin, SubRequest
from dandelionstage.model.topology import BackendServer

__all__ = ('CONNECTIONS', 'DEADLINE_MS', 'make_server', 'make_sub_request')

#: Connections to each backend server.
CONNECTIONS: Final = 16
DEADLINE_MS: Final = 3000
_SLOTS: Final = 2
_LOOPBACK: Final = '127.0.0.1'


def make_server(name: str, port: int) -> BackendServer:
    """Describe a backend server on loopback."""
    return BackendServer(
        backend=BackendId(name),
        host=_LOOPBACK,
        port=port,
        slots=_SLOTS,
        max_connections=CONNECTIONS,
    )


def make_sub_request(name: str, number: int, snapshot: str) -> SubRequest:
    """Write a sub-request to the shard that a server holds."""
    shard = name.rpartition('.')[0]
    return SubRequest(
        call=CallId('{0}.{1}'.format(name, number)),
        request=RequestId('bare'),
        customer=CustomerId('bare'),
        owner_key=OwnerKey(
            WorkloadId('finder-desk'),
            ShardId(shard),
            DataCentreId('bare'),
        ),
        pin=Pin(SnapshotId(snapshot), Revision(1)),
        replicas=(BackendId(name),),
        priority=Priority.URGENT,
        remaining_ms=DEADLINE_MS,
        query_json='{"ring": "A1"}',
    )
