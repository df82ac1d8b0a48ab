"""What VMs tell each other."""

from collections.abc import Sequence
from typing import Final, final

import msgspec

from ..placing.budget_loans import Loan

__all__ = (
    'Hello',
    'Known',
    'Pull',
    'State',
    'StoredItem',
    'decode_hello',
    'decode_pull',
    'decode_state',
    'encode',
)

#: Raised with every change of the messages; another one is not read.
PROTOCOL: Final = 2


@final
class Known(msgspec.Struct, array_like=True):
    """A VM that the sender knows of.

    :ivar age_ms: since somebody last heard from it.
    """

    vm: str
    data_centre: str
    age_ms: int
    has_store: bool


@final
class Hello(msgspec.Struct, array_like=True):
    """One datagram: who the sender is and what it knows.

    :ivar as_of: the store's revision that the sender knows everything to.
    :ivar wants_reply: asks for a hello in return.
    :ivar slow: servers that the sender has just met slow, and how many
        times slower than usual.
    :ivar asked_ms: by the sender's clock when it asks for a loan of extra
        attempts, ``None`` when it needs none.
    :ivar loan: lent to the receiver.
    """

    protocol: int
    vm: str
    data_centre: str
    as_of: int
    has_store: bool
    is_leaving: bool
    wants_reply: bool
    known: list[Known]
    slow: Sequence[tuple[str, float]]
    asked_ms: float | None
    loan: Loan | None


@final
class Pull(msgspec.Struct, array_like=True):
    """Asks for everything that changed after a revision."""

    protocol: int
    since: int


@final
class StoredItem(msgspec.Struct, array_like=True):
    """An item of the store; without a value it was removed."""

    key: str
    revision: int
    raw: bytes | None


@final
class State(msgspec.Struct, array_like=True):
    """The answer to a pull."""

    protocol: int
    as_of: int
    items: list[StoredItem]


_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
decode_hello = msgspec.msgpack.Decoder(Hello).decode
decode_pull = msgspec.msgpack.Decoder(Pull).decode
decode_state = msgspec.msgpack.Decoder(State).decode
