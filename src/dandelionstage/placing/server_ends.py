"""Ends of backend servers under one request, and reports of them."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final, NewType, final

import msgspec

__all__ = ('EndReport', 'RequestDigest', 'RequestReport', 'ServerEnds')

#: Identifies what a request asks for, however often it is sent.
RequestDigest = NewType('RequestDigest', bytes)

#: Number of ends that are remembered for one request.
_MAX_ENDS: Final = 8
#: Number of ends and trials of which copies are recognised, also when the ends
#: no longer count.
_MAX_NUMBERS: Final = 32
_NEVER_MS: Final = float('-inf')


@final
class EndReport(msgspec.Struct, array_like=True, frozen=True):
    """Servers that ended while they had a request.

    :ivar number: random number, by which copies of the report are recognised.
    :ivar servers: number of servers.
    :ivar sent_age_ms: time since the request was first sent to one of them.
    :ivar ended_age_ms: time since the last of them ended.
    :ivar succession: how many times servers had ended by then, each time after
        the one before, as the VM that saw it knew.
    """

    number: int
    servers: int
    sent_age_ms: int
    ended_age_ms: int
    succession: int


@final
class RequestReport(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows of a request under which servers ended.

    :ivar answered_age_ms: time since a server answered the request, ``None``
        if none has.
    :ivar trial: random number of the last trial, 0 if there was none.
    :ivar trial_left_ms: for how long other VMs should wait for it.
    """

    digest: bytes
    ends: Sequence[EndReport]
    answered_age_ms: int | None
    trial: int
    trial_left_ms: int


@final
@dataclass(frozen=True, slots=True)
class _End:
    number: int
    servers: int
    sent_ms: float
    ended_ms: float
    succession: int

    def report(self, now_ms: float) -> EndReport:
        return EndReport(
            self.number,
            self.servers,
            _age_ms(self.sent_ms, now_ms),
            _age_ms(self.ended_ms, now_ms),
            self.succession,
        )


@final
@dataclass(slots=True)
class ServerEnds:  # noqa: WPS214 -- short methods on one record
    """Known ends of servers under one request since it was last answered.

    :ivar answered_ms: time of the last answer, ``-inf`` if there was none.
    :ivar trial: random number of the last trial, 0 if there was none.
    :ivar trial_until_ms: until when other VMs wait for the outcome of a trial.
    :ivar own_trial: number of the trial that this VM has claimed, 0 if none.
    :ivar claimed_ms: when it claimed it.
    :ivar changed_ms: when this VM last learned something new.
    """

    answered_ms: float = _NEVER_MS
    trial: int = 0
    trial_until_ms: float = _NEVER_MS
    changed_ms: float = _NEVER_MS
    own_trial: int = 0
    claimed_ms: float = _NEVER_MS
    _ends: list[_End] = field(default_factory=list)
    _numbers: list[int] = field(default_factory=list)

    def __len__(self) -> int:
        """Return the number of ends."""
        return len(self._ends)

    @property
    def server_count(self) -> int:
        """Number of servers that ended."""
        return sum(end.servers for end in self._ends)

    @property
    def succession(self) -> int:
        """Number of times that servers ended, each after the one before.

        Ends that overlap in time count once, as they may have one cause, such
        as another request at the same servers.
        """
        return max((end.succession for end in self._ends), default=0)

    @property
    def last_end_ms(self) -> float:
        """Time of the last end, ``-inf`` if there was none."""
        return max((end.ended_ms for end in self._ends), default=_NEVER_MS)

    def add_own(
        self, number: int, servers: int, sent_ms: float, ended_ms: float
    ) -> bool:
        """Add an end that this VM saw; return whether it counts."""
        before = (
            end.succession for end in self._ends if end.ended_ms <= sent_ms
        )
        succession = max(before, default=0) + 1
        return self._add(_End(number, servers, sent_ms, ended_ms, succession))

    def add_reported(self, reports: Sequence[EndReport], now_ms: float) -> bool:
        """Add ends that another VM knows; return whether any is new."""
        added = [self._add(end) for end in _ends_of(reports, now_ms)]
        return any(added)

    def record_answer(self, answered_ms: float) -> bool:
        """Drop the ends before an answer; return whether there were any."""
        self.answered_ms = max(self.answered_ms, answered_ms)
        later = [end for end in self._ends if end.sent_ms > self.answered_ms]
        is_changed = len(later) < len(self._ends)
        self._ends = later
        return is_changed

    def wait_for_trial(
        self, number: int, until_ms: float, now_ms: float
    ) -> bool:
        """Wait for a trial; return whether the news must be passed on.

        Copies of the news arrive later and would prolong the wait.  Of trials
        that are claimed at the same time, all VMs choose the lowest number.
        """
        if not self._is_new(number):
            return False
        is_other = now_ms < self.trial_until_ms
        self.trial_until_ms = max(self.trial_until_ms, until_ms)
        if is_other and number > self.trial:
            return False
        self.trial = number
        return True

    def report(self, digest: RequestDigest, now_ms: float) -> RequestReport:
        """Return what is known, for other VMs."""
        answered_age_ms = None
        if self.answered_ms > _NEVER_MS:
            answered_age_ms = _age_ms(self.answered_ms, now_ms)
        trial_left_ms = int(max(0, self.trial_until_ms - now_ms))
        ends = tuple(end.report(now_ms) for end in self._ends)
        return RequestReport(
            digest, ends, answered_age_ms, self.trial, trial_left_ms
        )

    def _add(self, end: _End) -> bool:
        if not self._is_new(end.number) or end.sent_ms <= self.answered_ms:
            return False
        self._ends.append(end)
        if len(self._ends) > _MAX_ENDS:
            # The last in succession decide.
            self._ends.sort(key=_succession)
            self._ends.pop(0)
        return True

    def _is_new(self, number: int) -> bool:
        """Whether an end or a trial was not known; it is from now on."""
        if number in self._numbers:
            return False
        self._numbers.append(number)
        if len(self._numbers) > _MAX_NUMBERS:
            self._numbers.pop(0)
        return True


def _ends_of(reports: Sequence[EndReport], now_ms: float) -> Iterator[_End]:
    for report in reports:
        yield _End(
            report.number,
            report.servers,
            now_ms - report.sent_age_ms,
            now_ms - report.ended_age_ms,
            report.succession,
        )


def _succession(end: _End) -> int:
    return end.succession


def _age_ms(at_ms: float, now_ms: float) -> int:
    return max(0, int(now_ms - at_ms))
