"""Messages between a VM that received a query and a relay.

A relay is a VM that queries some of the shards on behalf of another VM.  The
answer of one shard is a part of the query's answer.
"""

from collections.abc import Sequence
from functools import partial
from typing import final

import msgspec

from ..model.decoding import decode_nested
from ..placing.server_ends import RequestReport

__all__ = (
    'Message',
    'Part',
    'PartsReport',
    'RelayAcceptance',
    'RelayCancel',
    'RelayRequest',
    'decode',
    'encode',
)


@final
class RelayRequest(msgspec.Struct, array_like=True, tag='ask'):
    """Requests the parts of the answer from some shards.

    :ivar number: identifies the query on this connection.
    :ivar method: HTTP method of the caller's request.
    :ivar target: HTTP request target of the caller's request.
    :ivar headers: headers of the caller's request.
    :ivar route: name of the route; the relay keeps usual response times for
        each route.
    :ivar attempts: maximum number of servers to send to per shard.
    :ivar shards: services to query.
    :ivar record_count: number of records in the whole answer and so the
        maximum number that a part needs.
    :ivar least_coverage: fraction of the shards that the route requires.
    :ivar answer_left_ms: time left until the target time for the answer.
    :ivar left_ms: time left until the caller's deadline.
    :ivar takes_merged: whether the sender uses all parts of a report together.
    """

    number: int
    method: bytes
    target: bytes
    host: str
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    request_id: bytes
    route: str
    attempts: int
    shards: Sequence[str]
    record_count: int
    least_coverage: float
    answer_left_ms: float
    left_ms: float
    takes_merged: bool = False


@final
class RelayAcceptance(msgspec.Struct, array_like=True, tag='taken'):
    """Accepts or refuses a request; a refused one is not sent to any server.

    :ivar number: number of the request.
    :ivar is_taken: whether the relay queries the shards.
    :ivar suspicion: what the relay knows of servers that ended under the
        request, if that is why it refuses.
    """

    number: int
    is_taken: bool
    suspicion: RequestReport | None = None


@final
class Part(msgspec.Struct, array_like=True):
    """Answer of one shard.

    :ivar stamp: signature of the server that answered.
    :ivar records: the shard's greatest records, concatenated; of merged parts
        only those that an answer of all of them may contain.
    """

    shard: str
    stamp: str
    records: bytes


@final
class PartsReport(msgspec.Struct, array_like=True, tag='parts'):
    """Delivers parts and lists the servers tried for the other shards.

    :ivar tried: servers that were sent to, by shard, for shards without a
        part.
    :ivar is_closed: whether the relay sends to no further servers.
    :ivar is_last: whether this is the last report on the query.
    :ivar ended: shards whose servers ended while they had the request.
    :ivar is_merged: whether the parts may only be used together.
    :ivar waits_ms: how long a request waits at the best server, by shard, for
        those where it waits.
    """

    number: int
    parts: Sequence[Part]
    tried: dict[str, Sequence[str]]
    is_closed: bool
    is_last: bool
    ended: Sequence[str] = ()
    is_merged: bool = False
    waits_ms: dict[str, float] = {}  # noqa: RUF012 -- copied by msgspec


@final
class RelayCancel(msgspec.Struct, array_like=True, tag='drop'):
    """Cancels a query whose result is no longer needed."""

    number: int


Message = RelayRequest | RelayAcceptance | PartsReport | RelayCancel

encode = msgspec.msgpack.Encoder().encode
decode = partial(decode_nested, msgspec.msgpack.Decoder(Message).decode)
