"""Table of the tickets that one process incarnation has minted."""

from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from typing import Final, final

from returns.result import Failure, Result, Success

from ..model.ids import ActionId, CustomerId, Incarnation, TicketId, VmId
from ..model.messages import ActionCall, ActionOutcome
from ..model.verdict import Reason, Run, Verdict, not_run
from .messages import BeginResult, Refuse
from .ticket import TicketClaims, is_signed, new_nonce, read_claims, sign
from .ticket_record import TicketRecord, TicketState

__all__ = ('Minter', 'TicketLimits', 'TicketTable')

_MINTER_GONE: Final = Refuse(
    Verdict(
        Run.MAY_HAVE_RUN,
        Reason.MINTER_GONE,
        detail='the ticket is of a process that is gone',
    ),
)
_INVALID_TICKET: Final = Refuse(not_run(Reason.UNKNOWN_TICKET))
_REMOVED_TICKET: Final = Refuse(
    Verdict(
        Run.MAY_HAVE_RUN,
        Reason.TICKET_EXPIRED,
        detail='the outcome is no longer remembered',
    ),
)


@final
@dataclass(frozen=True, slots=True)
class Minter:
    """Identity of a minting process: one incarnation of a daemon.

    :ivar vm: the VM of the daemon.
    :ivar incarnation: the incarnation of the daemon.
    :ivar secret: signs the tickets; generated at start, never sent and
        never stored.
    """

    vm: VmId
    incarnation: Incarnation
    secret: bytes


@final
@dataclass(frozen=True, slots=True)
class TicketLimits:
    """Limits on the lifetime and number of tickets.

    :ivar lifetime_ms: time from minting to expiry.
    :ivar max_tickets: tickets that one process keeps at a time.
    :ivar max_tickets_per_customer: the same for one customer.
    """

    lifetime_ms: float = 15_000
    max_tickets: int = 20_000
    max_tickets_per_customer: int = 5000


@final
class TicketTable:
    """Lets each ticket's action run at most once and keeps its outcome."""

    def __init__(
        self,
        minter: Minter,
        random: Random,
        limits: TicketLimits,
    ) -> None:
        """Create an empty table.

        :param random: generates the nonces; has to be cryptographically
            secure outside of tests.
        """
        self._minter = minter
        self._random = random
        self._limits = limits
        self._records: dict[ActionId, TicketRecord] = {}
        #: Tickets in order of minting, without those found to be expired.
        #: All have the same lifetime, so the oldest expires first.
        self._by_age: deque[TicketRecord] = deque()
        #: Expired tickets whose action is still running.
        self._overdue: list[TicketRecord] = []
        #: Number of kept tickets of each customer.
        self._held_by_customer: Counter[CustomerId] = Counter()

    def mint(
        self,
        customer: CustomerId,
        now_ms: float,
    ) -> Result[TicketId, Verdict]:
        """Mint a ticket for a customer; no backend server is contacted."""
        max_held = self._limits.max_tickets_per_customer
        is_full = self.open_count(now_ms) >= self._limits.max_tickets
        if is_full or self._held_by_customer[customer] >= max_held:
            return Failure(
                not_run(
                    Reason.ADMISSION_FULL,
                    'too many tickets',
                )
            )
        claims = TicketClaims(
            self._minter.vm,
            self._minter.incarnation,
            customer,
            now_ms + self._limits.lifetime_ms,
            new_nonce(self._random),
        )
        record = TicketRecord(claims)
        self._records[claims.action_id] = record
        self._by_age.append(record)
        self._held_by_customer[customer] += 1
        return Success(sign(claims, self._minter.secret))

    def begin(self, call: ActionCall, now_ms: float) -> BeginResult:
        """Record a call; let it start its action or wait, or answer it.

        :returns: ``Start`` for at most one call at a time, and for none
            once the action may have run.
        """
        claims = read_claims(call.ticket)
        if claims is None or claims.customer != call.customer:
            return _INVALID_TICKET
        if not self._is_own(claims):
            return _MINTER_GONE
        if not is_signed(call.ticket, self._minter.secret):
            return _INVALID_TICKET
        record = self._records.get(claims.action_id)
        return _REMOVED_TICKET if record is None else record.begin(call, now_ms)

    def record(
        self,
        action_id: ActionId,
        outcome: ActionOutcome,
    ) -> tuple[ActionOutcome, ...]:
        """Record the outcome of the call that started an action.

        :returns: the outcome for that call and for each waiting one; empty
            if the outcome was ignored.
        """
        record = self._records.get(action_id)
        return () if record is None else record.end(outcome)

    def open_count(self, now_ms: float) -> int:
        """Remove expired tickets and return the number of the others.

        An expired ticket whose action is running is kept and counted.
        """
        while self._by_age and self._by_age[0].has_expired(now_ms):
            record = self._by_age.popleft()
            if record.state is TicketState.RUNNING:
                self._overdue.append(record)
            else:
                self._remove(record)
        for overdue in tuple(self._overdue):
            if overdue.state is not TicketState.RUNNING:
                self._overdue.remove(overdue)
                self._remove(overdue)
        return len(self._records)

    def _is_own(self, claims: TicketClaims) -> bool:
        minter = self._minter
        return (claims.vm, claims.incarnation) == (
            minter.vm,
            minter.incarnation,
        )

    def _remove(self, record: TicketRecord) -> None:
        self._records.pop(record.claims.action_id, None)
        self._held_by_customer -= Counter((record.claims.customer,))
