"""Requests for permits to send to limited servers, and replies to them."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Final, Protocol, final

import msgspec

from ..catalog.servers import ServerId, ServerRecord, ServerStart
from ..gateway.run_context import Timer
from ..model.ids import VmId
from ..operations.events import EventLog
from ..placing.permit_issuer import DEPTH_S, ISSUERS, Grant, PermitIssuer
from ..placing.send_limit import SendLimit
from ..placing.server_limits import ServerLimits
from ..placing.warm_up import COLD_DEPTH_S
from ..routing.rendezvous import rank_vms
from .members import Address, Members
from .permit_messages import PermitReply, PermitRequest, decode, encode

__all__ = ('ExchangeContext', 'PermitExchange', 'PermitSeeker')

#: An issuer that has not replied within this time is not waited for, and not
#: asked again for the times below, which double with each failure.
_REPLY_TIMEOUT_MS: Final = 60.0
_FIRST_SILENCE_MS: Final = 500.0
_MAX_SILENCE_MS: Final = 8000.0
#: A VM that has just started does not know all VMs, so it could take itself
#: for an issuer.
_HOLD_OFF_MS: Final = 1500.0
#: Time after which an issuer that cannot grant anything may be asked again.
_UNKNOWN_RETRY_MS: Final = 500.0
#: Refused requests for permits are repeated at a random time up to this factor
#: later, so that VMs do not return all at once.
_RETRY_SPREAD: Final = 1.5
#: Number of servers for which the state of requests is kept.
_MAX_SERVERS: Final = 4096


class PermitSeeker(Protocol):
    """Connection pool of a server that needs permits to send to it."""

    record: ServerRecord
    limit: SendLimit

    @property
    def unpermitted_count(self) -> int:
        """Number of attempts that wait for a permit."""

    def send_permitted(self) -> None:
        """Send the waiting attempts for which there are permits."""

    def refuse_unpermitted(self) -> None:
        """End the waiting attempts, as there are no permits."""


@final
@dataclass(frozen=True, slots=True)
class ExchangeContext:
    """Log, random numbers, clock and timers of an exchange.

    :ivar now_ms: returns the monotonic time in milliseconds.
    :ivar call_later: schedules a call after a delay in milliseconds.
    """

    log: EventLog
    random: Random
    now_ms: Callable[[], float]
    call_later: Callable[[float, Callable[[], None]], Timer]


@final
class _Negotiation:
    """State of the requests for permits of one server.

    :ivar asked_ms: time of the request that has not been replied to, ``None``
        if there is none.
    :ivar issuer: VM that it was sent to.
    :ivar timer: ends the wait for the reply.
    :ivar avoided_until_ms: until when each issuer is not asked.
    :ivar silences: number of requests in a row without a reply, by issuer.
    """

    def __init__(self) -> None:
        self.asked_ms: float | None = None
        self.issuer: VmId | None = None
        self.timer: Timer | None = None
        self.avoided_until_ms: dict[VmId, float] = {}
        self.silences: dict[VmId, int] = {}

    def finish(self) -> None:
        """End the wait for a reply."""
        self.asked_ms = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


@final
class PermitExchange:  # noqa: WPS214 -- two sides of one protocol
    """Obtains permits for this VM and issues them to others.

    The issuers of a server are VMs of its own data centre, so that a VM which
    reaches the server also reaches them, and a data centre that is cut off
    goes on with its own servers.  They are chosen among all VMs that may
    exist, not only among those alive, so views on who is alive cannot lead to
    two sets of issuers.
    """

    def __init__(
        self,
        own: Address,
        members: Members,
        limits: ServerLimits,
        context: ExchangeContext,
    ) -> None:
        """Create an exchange; nothing is sent before a request.

        :param own: address of this VM.
        """
        self.send: Callable[[bytes, Address], None] = _send_nothing
        self.find_seeker: Callable[[ServerId], PermitSeeker | None] = _find_none
        self._own = own
        self._members = members
        self._limits = limits
        self._context = context
        self._issuer = PermitIssuer()
        self._started_ms = context.now_ms()
        self._negotiations: dict[ServerStart, _Negotiation] = {}

    def request(self, seeker: PermitSeeker) -> None:
        """Request permits, unless a request is in progress."""
        start = _start_of(seeker.record)
        negotiation = self._negotiations.get(start)
        if negotiation is None:
            self._evict()
            negotiation = self._negotiations.setdefault(start, _Negotiation())
        if negotiation.asked_ms is None:
            self._request(seeker, negotiation)

    def receive(self, datagram: bytes, sender: Address) -> None:
        """Handle a request or a reply of another VM."""
        try:
            message = decode(datagram)
        except (msgspec.MsgspecError, ValueError) as error:
            self._context.log.event('permits_unreadable', fault=str(error))
            return
        self._limits.apply_reports((message.limit,), self._context.now_ms())
        if isinstance(message, PermitRequest):
            self.send(encode(self._reply_to(message)), sender)
        else:
            self._accept(message, sender)

    def issuers_of(self, record: ServerRecord) -> tuple[VmId, ...]:
        """Return the VMs that issue the permits of a server."""
        vms = self._members.in_data_centre(record.data_centre)
        return rank_vms(record.server, vms)[:ISSUERS]

    def _evict(self) -> None:
        """Drop the states without a request in progress if there are many."""
        if len(self._negotiations) >= _MAX_SERVERS:
            self._negotiations = {
                start: each
                for start, each in self._negotiations.items()
                if each.asked_ms is not None
            }

    def _request(self, seeker: PermitSeeker, negotiation: _Negotiation) -> None:
        at_ms = self._context.now_ms()
        issuer = self._choose_issuer(seeker.record, negotiation, at_ms)
        if issuer is None or not seeker.limit.per_s:
            self._refuse(seeker, negotiation, at_ms)
            return
        request = PermitRequest(
            self._limits.report_or_unstated(_start_of(seeker.record), at_ms),
            seeker.limit.wanted(seeker.unpermitted_count),
            at_ms,
            seeker.limit.cold_per_s,
        )
        negotiation.asked_ms = at_ms
        negotiation.issuer = issuer
        if issuer == self._own:
            # Later, as the attempt is still being submitted.
            negotiation.timer = self._context.call_later(
                0, partial(self._accept_own, request)
            )
            return
        self.send(encode(request), Address(issuer))
        negotiation.timer = self._context.call_later(
            _REPLY_TIMEOUT_MS, partial(self._time_out, seeker, negotiation)
        )

    def _choose_issuer(
        self, record: ServerRecord, negotiation: _Negotiation, at_ms: float
    ) -> VmId | None:
        avoided = negotiation.avoided_until_ms
        willing = [
            vm for vm in self.issuers_of(record) if avoided.get(vm, -1) <= at_ms
        ]
        return self._context.random.choice(willing) if willing else None

    def _refuse(
        self, seeker: PermitSeeker, negotiation: _Negotiation, at_ms: float
    ) -> None:
        """End the waiting attempts, as no issuer has permits now."""
        later = (
            until_ms
            for until_ms in negotiation.avoided_until_ms.values()
            if until_ms > at_ms
        )
        until_ms = min(later, default=at_ms + _UNKNOWN_RETRY_MS)
        seeker.limit.refuse(until_ms)
        self._context.log.event(
            'permits_refused',
            server=seeker.record.server,
            service=seeker.record.service,
            limit_per_s=seeker.limit.per_s,
            waiting=seeker.unpermitted_count,
            again_ms=round(until_ms - at_ms, 1),
        )
        # Later, as the attempt may still be in the process of submission.
        self._context.call_later(0, seeker.refuse_unpermitted)

    def _time_out(
        self, seeker: PermitSeeker, negotiation: _Negotiation
    ) -> None:
        """Give up an issuer that did not reply, and the waiting attempts."""
        issuer = negotiation.issuer
        negotiation.finish()
        assert issuer is not None  # noqa: S101 -- set with the timer
        count = negotiation.silences.get(issuer, 0)
        negotiation.silences[issuer] = count + 1
        silence_ms = min(
            _MAX_SILENCE_MS, _FIRST_SILENCE_MS * 2 ** min(count, 8)
        )
        negotiation.avoided_until_ms[issuer] = (
            self._context.now_ms() + silence_ms
        )
        self._context.log.event(
            'permits_unanswered', server=seeker.record.server, peer=issuer
        )
        seeker.refuse_unpermitted()

    def _accept_own(self, request: PermitRequest) -> None:
        self._accept(self._reply_to(request), self._own)

    def _accept(self, reply: PermitReply, sender: Address) -> None:
        """Use the permits of a reply, or ask another issuer."""
        start = (ServerId(reply.limit.server), reply.limit.started_ms)
        negotiation = self._negotiations.get(start)
        seeker = self.find_seeker(start[0])
        if (
            negotiation is None
            or negotiation.issuer != sender
            or negotiation.asked_ms != reply.asked_ms
        ):
            # A late or repeated reply; permits count once.
            return
        negotiation.finish()
        negotiation.silences.pop(sender, None)
        if not reply.count:
            spread = self._context.random.uniform(1, _RETRY_SPREAD)
            negotiation.avoided_until_ms[sender] = (
                self._context.now_ms() + reply.retry_ms * spread
            )
        if seeker is None or _start_of(seeker.record) != start:
            return
        if reply.count:
            until_ms = reply.asked_ms + seeker.limit.permit_ms
            seeker.limit.add(reply.count, until_ms)
        seeker.send_permitted()
        if seeker.unpermitted_count:
            self._request(seeker, negotiation)

    def _reply_to(self, request: PermitRequest) -> PermitReply:
        at_ms = self._context.now_ms()
        start = (ServerId(request.limit.server), request.limit.started_ms)
        grant = self._grant(start, request, at_ms)
        limit = self._limits.report(start, at_ms) or request.limit
        return PermitReply(
            limit, grant.permits, grant.retry_ms, request.asked_ms
        )

    def _grant(
        self, start: ServerStart, request: PermitRequest, at_ms: float
    ) -> Grant:
        """Grant this VM's part of a server's permits, if it is an issuer."""
        hold_off_ms = self._started_ms + _HOLD_OFF_MS - at_ms
        if hold_off_ms > 0:
            return Grant(0, hold_off_ms)
        seeker = self.find_seeker(start[0])
        if seeker is None or _start_of(seeker.record) != start:
            return Grant(0, _UNKNOWN_RETRY_MS)
        per_s = seeker.limit.lowest_per_s(request.cold_per_s)
        issuers = self.issuers_of(seeker.record)
        if self._own not in issuers or not per_s:
            return Grant(0, _UNKNOWN_RETRY_MS)
        is_cold = request.cold_per_s or seeker.limit.cold_per_s
        return self._issuer.grant(
            start,
            per_s / len(issuers),
            request.wanted,
            at_ms,
            COLD_DEPTH_S if is_cold else DEPTH_S,
        )


def _start_of(record: ServerRecord) -> ServerStart:
    return record.server, record.started_ms


def _send_nothing(message: bytes, vm: Address) -> None:
    """Send nothing; used until ``send`` is set."""


def _find_none(server: ServerId) -> None:
    """Find nothing; used until ``find_seeker`` is set."""
