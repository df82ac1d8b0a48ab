"""Where a call with a ticket belongs: the incarnation that minted it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..model.ids import Incarnation, TicketId, VmId
from ..model.verdict import Reason, Run, Verdict, not_run
from .messages import Refuse
from .ticket import read_claims

__all__ = (
    'Forward',
    'check_idempotency_key',
    'locate_minter',
    'minter_unreachable',
)

_GONE: Final = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.MINTER_GONE,
    detail='the process that minted the ticket is gone',
)


@final
@dataclass(frozen=True, slots=True)
class Forward:
    """Send the call to the VM that minted the ticket; it may be our own."""

    vm: VmId


def locate_minter(
    ticket: TicketId,
    incarnation_of: Callable[[VmId], Incarnation | None],
) -> Forward | Refuse:
    """Say where a call belongs.

    Nobody but the minter can tell whether an earlier call ran, so anything
    short of reaching it leaves that open.

    :param incarnation_of: the highest one heard of, ``None`` if unknown.
    """
    claims = read_claims(ticket)
    if claims is None:
        return Refuse(not_run(Reason.UNKNOWN_TICKET, 'not a ticket'))
    known = incarnation_of(claims.vm)
    if known is None or known > claims.incarnation:
        return Refuse(_GONE)
    return Forward(claims.vm)


def minter_unreachable() -> Verdict:
    """Judge a call that could not be brought to its minter.

    Also when nothing of it was sent: an earlier call may have come through
    another VM.
    """
    return Verdict(
        Run.MAY_HAVE_RUN,
        Reason.PEER_UNREACHABLE,
        detail='the process that minted the ticket cannot be reached',
    )


def check_idempotency_key(has_ticket: bool, has_key: bool) -> Verdict | None:
    """Refuse a caller's own idempotency key when there is no ticket."""
    if has_ticket or not has_key:
        return None
    return not_run(
        Reason.KEY_WITHOUT_TICKET,
        'no process can vouch for a key of your own; get a ticket first',
    )
