"""The requests of one customer, as they are offered and read."""

import json
from dataclasses import dataclass
from typing import Any, Final, final

from .balancer import Headers
from .outcomes import Ending

__all__ = ('Stream', 'encode_query', 'read_reply')

_OK: Final = 200
#: The stand-ins find this many records for any query.
_RECORDS_PER_SHARD: Final = 2


@final
@dataclass(frozen=True, slots=True)
class Stream:
    """Queries that arrive at random times.

    :ivar rate_per_s: mean of the Poisson arrivals.
    """

    customer: str
    key: str
    workload: str
    rate_per_s: float


def encode_query(stream: Stream, ring: int) -> tuple[Headers, bytes]:
    """Write one query as an HTTP request."""
    body = json.dumps(
        {
            'workload': stream.workload,
            'query': {'ring': 'R{0}'.format(ring)},
        }
    ).encode()
    authorization = 'Bearer {0}'.format(stream.key)
    headers = [
        (b'host', b'127.0.0.1'),
        (b'authorization', authorization.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    return headers, body


def read_reply(status: int, reply: dict[str, Any]) -> tuple[Ending, str]:
    """Judge a reply; its records must bear out the coverage it states."""
    if status != _OK:
        return Ending.REFUSED, str(reply['reason'])
    coverage = reply['coverage']
    if len(reply['records']) != coverage['answered'] * _RECORDS_PER_SHARD:
        return Ending.FALSE, 'coverage'
    if coverage['complete']:
        return Ending.WHOLE, ''
    return Ending.PARTIAL, ''
