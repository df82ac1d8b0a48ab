"""Messages of the gossip protocol between VMs."""

import re
from collections.abc import Sequence
from functools import partial
from math import isfinite
from typing import Final, final

import msgspec

from ..model.decoding import decode_nested
from ..placing.budget_loans import LENT_FRACTION, Loan
from ..placing.server_limits import LimitReport
from .permit_messages import check_report

__all__ = (
    'Hello',
    'KnownMember',
    'PullReply',
    'PullRequest',
    'StoredItem',
    'decode_hello',
    'decode_pull_reply',
    'decode_pull_request',
    'encode',
)

#: Incremented with every change of the messages; messages with another version
#: are ignored.
PROTOCOL: Final = 3


@final
class KnownMember(msgspec.Struct, array_like=True):
    """State of a VM that the sender knows.

    :ivar age_ms: time since any VM last heard from it.
    :ivar has_store: whether the VM could reach the store at that time.
    """

    vm: str
    data_centre: str
    age_ms: int
    has_store: bool


@final
class Hello(msgspec.Struct, array_like=True):
    """Datagram with the state of the sender and of VMs that it knows.

    :ivar protocol: version of the protocol.
    :ivar vm: address of the sender.
    :ivar as_of: position in the store's histories up to which the sender's
        catalog is complete.
    :ivar has_store: whether the sender can reach the store.
    :ivar is_leaving: whether the sender is stopping.
    :ivar wants_reply: whether the receiver should send a hello in return.
    :ivar known: states of other VMs.
    :ivar slow: servers that the sender recently found slow, each with its
        response time as a multiple of the usual one.
    :ivar asked_ms: time by the sender's clock if it requests a loan of retry
        budget, else ``None``.
    :ivar loan: loan granted to the receiver.
    :ivar limits: what the sender knows of limits that servers named.
    :ivar store_failed_age_ms: time since the store last failed to answer a
        reader, ``None`` if it did not recently.
    :ivar store_answered_age_ms: time since it last answered any VM.
    :ivar leaving: ids and starts of servers that take no new work, as they
        stated in replies, although they are listed.
    """

    protocol: int
    vm: str
    data_centre: str
    as_of: int
    has_store: bool
    is_leaving: bool
    wants_reply: bool
    known: list[KnownMember]
    slow: Sequence[tuple[str, float]]
    asked_ms: float | None
    loan: Loan | None
    limits: Sequence[LimitReport] = ()
    store_failed_age_ms: int | None = None
    store_answered_age_ms: int | None = None
    leaving: Sequence[tuple[str, int]] = ()


@final
class PullRequest(msgspec.Struct, array_like=True):
    """Requests all items that changed after a position of the store.

    :ivar since: the position.
    """

    protocol: int
    since: int


@final
class StoredItem(msgspec.Struct, array_like=True):
    """Item of the store.

    :ivar raw: value, ``None`` if it was removed.
    :ivar is_older: whether the sender knows that the store lists it from a
        copy that is older than the last entry of its server.
    """

    key: str
    revision: int
    raw: bytes | None
    is_older: bool = False


@final
class PullReply(msgspec.Struct, array_like=True):
    """Reply to a pull request.

    :ivar as_of: position of the store up to which the items are complete.
    :ivar is_full: whether the items are all that exist, because the sender
        does not remember every removal since the requested revision.
    """

    protocol: int
    as_of: int
    items: list[StoredItem]
    is_full: bool = False


_ADDRESS: Final = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}', re.ASCII)


def decode_hello(datagram: bytes) -> Hello:
    """Decode and check a hello.

    What a hello says is kept and passed on, so a value that cannot be true
    would spread through the fleet.

    :raises msgspec.MsgspecError: if it is not a hello.
    :raises ValueError: if an address, an age, a loan, a ratio or a limit is
        invalid.
    """
    hello = decode_nested(_decode_hello, datagram)
    for address in (hello.vm, *(known.vm for known in hello.known)):
        if not _ADDRESS.fullmatch(address):
            raise ValueError(
                'invalid address of a VM: {0!a:.60}'.format(address)
            )
    _check_ages(hello)
    if hello.loan is not None:
        _check_loan(hello.loan)
    if not all(isfinite(ratio) for _, ratio in hello.slow):
        raise ValueError('a server that takes for ever')
    for report in hello.limits:
        check_report(report)
    return hello


def _check_loan(loan: Loan) -> None:
    """Check that a loan ends, and is not more than a VM lends.

    :raises ValueError: if it is invalid.
    """
    if not 0 <= loan.fraction <= LENT_FRACTION or not isfinite(loan.until_ms):
        raise ValueError(repr(loan))


def _check_ages(hello: Hello) -> None:
    """Check that nothing is known of the future.

    :raises ValueError: if an age is negative.
    """
    if any(known.age_ms < 0 for known in hello.known):
        raise ValueError('a VM was heard from in the future')
    ages_ms = (hello.store_failed_age_ms, hello.store_answered_age_ms)
    if any(age_ms is not None and age_ms < 0 for age_ms in ages_ms):
        raise ValueError('a call to the store in the future')


_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
_decode_hello: Final = msgspec.msgpack.Decoder(Hello).decode
decode_pull_request = partial(
    decode_nested, msgspec.msgpack.Decoder(PullRequest).decode
)
decode_pull_reply = partial(
    decode_nested, msgspec.msgpack.Decoder(PullReply).decode
)
