"""What a VM that has a query and the VMs that relay it tell each other."""

from collections.abc import Sequence
from typing import final

import msgspec

__all__ = (
    'Ask',
    'Drop',
    'Message',
    'Part',
    'Parts',
    'Taken',
    'decode',
    'encode',
)


@final
class Ask(msgspec.Struct, array_like=True, tag='ask'):
    """Asks for the parts of some shards.

    :ivar number: names the query on this connection.
    :ivar headers: of the caller's request.
    :ivar route: its name, by which servers' usual times are kept.
    :ivar attempts: most servers that may be sent to, of each shard.
    :ivar record_count: records of the whole answer; a part needs no more.
    :ivar least_coverage: as the route has it.
    :ivar answer_left_ms: time until parts are of full worth.
    :ivar left_ms: time until the caller gives up.
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


@final
class Taken(msgspec.Struct, array_like=True, tag='taken'):
    """Says whether the shards are asked; if not, nothing was sent."""

    number: int
    is_taken: bool


@final
class Part(msgspec.Struct, array_like=True):
    """What one shard answered.

    :ivar stamp: the server's signature.
    :ivar records: the greatest ones.
    """

    shard: str
    stamp: str
    records: bytes


@final
class Parts(msgspec.Struct, array_like=True, tag='parts'):
    """Brings parts, and says what was tried where there is none.

    :ivar tried: servers sent to, by shard, for shards without a part.
    :ivar is_closed: whether nothing more is sent to servers.
    :ivar is_last: whether no more will come.
    """

    number: int
    parts: Sequence[Part]
    tried: dict[str, Sequence[str]]
    is_closed: bool
    is_last: bool


@final
class Drop(msgspec.Struct, array_like=True, tag='drop'):
    """Says that nobody waits for a query any more."""

    number: int


Message = Ask | Taken | Parts | Drop

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
