"""Requests that end the backend servers that run them.

Load pattern: a request ends each server that runs it and comes again, at any
VM.  Each server that ends takes all requests that it has with it, so many
others lose one server or all of theirs at the same time, and callers repeat
those too.

What tells them apart: servers that end under other requests end at the same
time, by one cause.  Under a deadly request, servers end one after the other,
each time that it is sent again, and none of them ever answers it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum, unique
from random import Random
from typing import Final, final

from .server_ends import RequestDigest, RequestReport, ServerEnds

__all__ = ('CLAIM_MS', 'TRIAL_MS', 'DeadlyRequests', 'Verdict')

#: A request is deadly once servers have ended under it this many times in
#: succession without an answer in between.
_DEADLY_ENDS: Final = 3
#: A request under which this many servers have ended is sent to one server at
#: a time, by one VM, until one of them answers.
_SUSPECT_SERVERS: Final = 3
#: How long a deadly request is rejected; it is then tried once.
_DEADLY_MS: Final = 3_600_000.0
#: How long ends of servers are remembered.
_EXPIRY_MS: Final = 7_200_000.0
#: Other VMs wait this long for the outcome of a trial.
TRIAL_MS: Final = 700.0
#: A VM that claims a trial waits this long for other claims, of VMs that have
#: not heard of it.  News reaches hundreds of VMs within half of this time.
CLAIM_MS: Final = 200.0
#: Time in which servers that have ended usually start again.
_RESTART_MS: Final = 5000.0
#: Number of requests that are remembered.
_MAX_REQUESTS: Final = 1024
#: Maximum number of requests in one message, so that it fits into one packet:
#: those that changed within the time below first, then others at random.
_MAX_REPORTED: Final = 6
_NEWS_MS: Final = 3000.0
_NUMBER_BITS: Final = 32


@unique
class Verdict(Enum):
    """What the ends of servers say of a request."""

    UNSUSPECTED = 'unsuspected'
    #: May be sent to one server at a time, to find out.
    SUSPECT = 'suspect'
    #: Some VM is finding out.
    ON_TRIAL = 'on_trial'
    DEADLY = 'deadly'


@final
class DeadlyRequests:  # noqa: WPS214 -- short methods on one table
    """Requests under which servers ended, as seen here and by other VMs.

    :ivar on_change: called with a request whose record has changed, and
        whether this VM saw the reason itself.
    """

    def __init__(self, random: Random | None = None) -> None:
        """Create an empty table.

        :param random: source of the numbers of ends.
        """
        self.on_change: Callable[[RequestDigest, bool], None] = _ignore
        self._random = random or Random()
        self._records: OrderedDict[RequestDigest, ServerEnds] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return len(self._records)

    def verdict(self, digest: RequestDigest, now_ms: float) -> Verdict:
        """Return how to treat a request."""
        record = self._records.get(digest)
        if record is None:
            return Verdict.UNSUSPECTED
        if _is_deadly(record) and now_ms - record.last_end_ms < _DEADLY_MS:
            return Verdict.DEADLY
        if not _is_deadly(record) and record.server_count < _SUSPECT_SERVERS:
            return Verdict.UNSUSPECTED
        is_on_trial = now_ms < record.trial_until_ms
        return Verdict.ON_TRIAL if is_on_trial else Verdict.SUSPECT

    def has_ends(self, digest: RequestDigest) -> bool:
        """Whether servers ended under a request and none has answered it."""
        return digest in self._records and bool(self._records[digest])

    def have_restarted(self, digest: RequestDigest, now_ms: float) -> bool:
        """Whether the servers that ended had time to start again."""
        record = self._records.get(digest)
        return record is None or now_ms - record.last_end_ms >= _RESTART_MS

    def deadly_left_ms(self, digest: RequestDigest, now_ms: float) -> float:
        """Return for how much longer a deadly request is rejected."""
        record = self._records.get(digest)
        last_end_ms = record.last_end_ms if record else now_ms
        return max(0, last_end_ms + _DEADLY_MS - now_ms)

    def describe(self, digest: RequestDigest) -> dict[str, int]:
        """Return the counts that decide the verdict, for log lines."""
        record = self._records.get(digest, ServerEnds())
        return {
            'servers': record.server_count,
            'succession': record.succession,
        }

    def record_end(
        self,
        digest: RequestDigest,
        servers: int,
        sent_ms: float,
        ended_ms: float,
    ) -> None:
        """Record servers that ended while they had a request.

        :param servers: number of servers.
        :param sent_ms: when the request was first sent to one of them.
        :param ended_ms: when the last of them ended.
        """
        number = self._new_number()
        record = self._record_of(digest)
        if record.add_own(number, servers, sent_ms, ended_ms):
            self._change(digest, record, ended_ms, is_own=True)

    def record_answer(self, digest: RequestDigest, now_ms: float) -> None:
        """Record that a server has answered a request."""
        record = self._records.get(digest)
        if record is not None and record.record_answer(now_ms):
            self._change(digest, record, now_ms, is_own=True)

    def begin_trial(self, digest: RequestDigest, now_ms: float) -> None:
        """Have other VMs wait, as this one sends the request to a server."""
        record = self._record_of(digest)
        if record.own_trial:
            # Other VMs wait since it was claimed.
            record.own_trial = 0
            return
        record.wait_for_trial(self._new_number(), now_ms + TRIAL_MS, now_ms)
        self._change(digest, record, now_ms, is_own=True)

    def claim_trial(self, digest: RequestDigest, now_ms: float) -> None:
        """Claim the next trial of a suspect request for this VM."""
        record = self._record_of(digest)
        record.own_trial = self._new_number()
        record.claimed_ms = now_ms
        record.wait_for_trial(record.own_trial, now_ms + TRIAL_MS, now_ms)
        self._change(digest, record, now_ms, is_own=True)

    def may_try(self, digest: RequestDigest, now_ms: float) -> bool:
        """Whether this VM has claimed the trial, and no other VM has."""
        record = self._records.get(digest)
        return (
            record is not None
            and record.own_trial == record.trial
            and record.own_trial > 0
            and now_ms - record.claimed_ms >= CLAIM_MS
        )

    def report(
        self, digest: RequestDigest, now_ms: float
    ) -> RequestReport | None:
        """Return what is known of a request, ``None`` if nothing is."""
        record = self._records.get(digest)
        return None if record is None else record.report(digest, now_ms)

    def choose_reports(
        self, now_ms: float, random: Random
    ) -> list[RequestReport]:
        """Choose what the next message to another VM says."""
        recent = self._list_changed(now_ms)
        chosen = random.sample(recent, min(_MAX_REPORTED, len(recent)))
        if len(chosen) < _MAX_REPORTED:
            others = self._list_ended().difference(recent)
            left = min(_MAX_REPORTED - len(chosen), len(others))
            chosen += random.sample(sorted(others), left)
        return [self._records[each].report(each, now_ms) for each in chosen]

    def apply_reports(
        self, reports: Iterable[RequestReport], now_ms: float
    ) -> None:
        """Record what another VM knows, as far as it is new."""
        for report in reports:
            if report.ends or report.digest in self._records:
                self._apply_report(report, now_ms)

    def _apply_report(self, report: RequestReport, now_ms: float) -> None:
        digest = RequestDigest(report.digest)
        record = self._record_of(digest)
        is_changed = False
        if report.answered_age_ms is not None:
            answered_ms = now_ms - report.answered_age_ms
            is_changed = record.record_answer(answered_ms)
        is_changed |= record.add_reported(report.ends, now_ms)
        if report.trial_left_ms:
            until_ms = now_ms + report.trial_left_ms
            is_changed |= record.wait_for_trial(report.trial, until_ms, now_ms)
        if is_changed:
            self._change(digest, record, now_ms, is_own=False)

    def _new_number(self) -> int:
        """Choose a number of an end or a trial, which is not 0."""
        return self._random.getrandbits(_NUMBER_BITS) + 1

    def _list_changed(self, now_ms: float) -> list[RequestDigest]:
        """List the requests of which this VM learned something recently."""
        return [
            digest
            for digest, record in self._records.items()
            if now_ms - record.changed_ms < _NEWS_MS
        ]

    def _list_ended(self) -> set[RequestDigest]:
        """List the requests under which servers ended and none answered."""
        return {digest for digest, record in self._records.items() if record}

    def _record_of(self, digest: RequestDigest) -> ServerEnds:
        record = self._records.get(digest)
        if record is None:
            record = self._records.setdefault(digest, ServerEnds())
        return record

    def _change(
        self,
        digest: RequestDigest,
        record: ServerEnds,
        now_ms: float,
        *,
        is_own: bool,
    ) -> None:
        record.changed_ms = now_ms
        self._records.move_to_end(digest)
        self._evict(now_ms)
        self.on_change(digest, is_own)

    def _evict(self, now_ms: float) -> None:
        """Drop what is too old, and what says least if there is too much.

        The records are in the order of their last change.
        """
        oldest, record = next(iter(self._records.items()))
        if now_ms - record.changed_ms > _EXPIRY_MS:
            self._records.pop(oldest)
        elif len(self._records) > _MAX_REQUESTS:
            self._records.pop(self._find_weak() or oldest)

    def _find_weak(self) -> RequestDigest | None:
        """Find the request with weak evidence that changed longest ago."""
        for least in (2, _DEADLY_ENDS):
            for digest, record in self._records.items():
                if record.succession < least:
                    return digest
        return None


def _is_deadly(record: ServerEnds) -> bool:
    return record.succession >= _DEADLY_ENDS


def _ignore(
    digest: RequestDigest,
    is_own: bool,  # noqa: FBT001 -- a callback
) -> None:
    """Ignore a change; used until ``on_change`` is set."""
