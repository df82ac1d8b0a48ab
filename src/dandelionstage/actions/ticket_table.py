"""The tickets that one process incarnation minted and answers for."""

from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from typing import Final, final

from returns.result import Failure, Result, Success

from ..model.ids import ActionId, CustomerId, Incarnation, TicketId, VmId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Reason, Run, Verdict, not_run
from .ticket_record import TicketEntry, TicketState
from .messages import Begin, Refuse
from .ticket import TicketClaims, is_signed, new_nonce, read_claims, sign

__all__ = ('Minter', 'TicketLimits', 'TicketTable')

_GONE: Final = Refuse(
    Verdict(
        Run.MAY_HAVE_RUN,
        Reason.MINTER_GONE,
        detail='the ticket is of a process that is gone',
    ),
)
_FORGED: Final = Refuse(not_run(Reason.UNKNOWN_TICKET))
_FORGOTTEN: Final = Refuse(
    Verdict(
        Run.MAY_HAVE_RUN,
        Reason.TICKET_EXPIRED,
        detail='the outcome is no longer remembered',
    ),
)


@final
@dataclass(frozen=True, slots=True)
class Minter:
    """Who mints: one incarnation of one daemon, with a secret of its own.

    :ivar secret: drawn at start, never sent and never kept.
    """

    vm: VmId
    incarnation: Incarnation
    secret: bytes


@final
@dataclass(frozen=True, slots=True)
class TicketLimits:
    """How long and how many tickets live.

    :ivar lifetime_ms: from minting to expiry.
    :ivar max_tickets: held at once by one process.
    :ivar max_tickets_per_customer: of these, for any one customer.
    """

    lifetime_ms: float = 15_000
    max_tickets: int = 20_000
    max_tickets_per_customer: int = 5000


@final
class TicketTable:
    """Starts each ticket's action at most once and remembers its outcome."""

    def __init__(
        self,
        minter: Minter,
        random: Random,
        limits: TicketLimits,
    ) -> None:
        """Start without tickets.

        :param random: one that cannot be guessed, outside of tests.
        """
        self._minter = minter
        self._random = random
        self._limits = limits
        self._entries: dict[ActionId, TicketEntry] = {}
        #: All live equally long, so the oldest expires first.
        self._by_age: deque[TicketEntry] = deque()
        #: Expired, but their action is still running.
        self._overdue: list[TicketEntry] = []
        self._held: Counter[CustomerId] = Counter()

    def mint(
        self,
        customer: CustomerId,
        now_ms: float,
    ) -> Result[TicketId, Verdict]:
        """Mint a ticket; nothing happens at any backend server."""
        most = self._limits.max_tickets_per_customer
        full = self.open_count(now_ms) >= self._limits.max_tickets
        if full or self._held[customer] >= most:
            return Failure(not_run(Reason.ADMISSION_FULL, 'too many tickets'))
        claims = TicketClaims(
            self._minter.vm,
            self._minter.incarnation,
            customer,
            now_ms + self._limits.lifetime_ms,
            new_nonce(self._random),
        )
        entry = TicketEntry(claims)
        self._entries[claims.action_id] = entry
        self._by_age.append(entry)
        self._held[customer] += 1
        return Success(sign(claims, self._minter.secret))

    def begin(self, call: ActionCall, now_ms: float) -> Begin:
        """Decide what becomes of a call with a ticket.

        :returns: ``Start`` to at most one call at a time, and never again
            once one may have run.
        """
        claims = read_claims(call.ticket)
        if claims is None or claims.customer != call.customer:
            return _FORGED
        if not self._is_own(claims):
            return _GONE
        if not is_signed(call.ticket, self._minter.secret):
            return _FORGED
        entry = self._entries.get(claims.action_id)
        return _FORGOTTEN if entry is None else entry.begin(call, now_ms)

    def record(
        self,
        action_id: ActionId,
        outcome: ActionOutcome,
    ) -> tuple[ActionOutcome, ...]:
        """Take the outcome of the call that was told to start.

        :returns: the outcome for it and for each call that waits; none for
            an outcome that changes nothing.
        """
        entry = self._entries.get(action_id)
        return () if entry is None else entry.end(outcome)

    def open_count(self, now_ms: float) -> int:
        """Count the tickets that may still be used or asked about.

        Forgets those that have expired, but none whose action is running.
        """
        while self._by_age and self._by_age[0].has_expired(now_ms):
            entry = self._by_age.popleft()
            if entry.state is TicketState.RUNNING:
                self._overdue.append(entry)
            else:
                self._forget(entry)
        for overdue in tuple(self._overdue):
            if overdue.state is not TicketState.RUNNING:
                self._overdue.remove(overdue)
                self._forget(overdue)
        return len(self._entries)

    def _is_own(self, claims: TicketClaims) -> bool:
        minter = self._minter
        return (claims.vm, claims.incarnation) == (
            minter.vm,
            minter.incarnation,
        )

    def _forget(self, entry: TicketEntry) -> None:
        self._entries.pop(entry.claims.action_id, None)
        self._held -= Counter((entry.claims.customer,))
