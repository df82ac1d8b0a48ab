"""Detects that the readers of the store no longer receive its changes."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.positions import era_of, log_fields, revision_of
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..routing.rendezvous import rank_vms
from ..spread.members import Address, Members
from .store_client import StoreClient, StoreUnavailable
from .store_reader import StoreReader

__all__ = ('RevisionCheck', 'check_interval_s', 'needs_current', 'until_turn_s')

#: Checks per second of all VMs but the readers, so that the load on the store
#: does not grow with the fleet.
_FLEET_CHECKS_PER_S: Final = 3.0
#: One of so many turns asks for the current revision, which costs as much as a
#: read.  Answers that may be seconds old cost a tenth; they show soon whether
#: the store answers at all.
_TURNS_PER_CURRENT_CHECK: Final = 3
#: A check of a reader comes this much earlier or later than the mean, so that
#: readers started together do not check together.
_JITTER: Final = 0.15
#: Key of the rendezvous ranking that determines whose turn it is to check.
_TURNS_KEY: Final = 'revision checks'
#: A timer may fire this much before a turn that it waits for.
_EARLY_TIMER_S: Final = 0.05
#: How often a VM that waits for its turn looks whether it has become a reader.
_ROLE_CHECK_INTERVAL_S: Final = 0.5
#: A change reaches every VM within this time unless a reader has failed.
_PROPAGATION_S: Final = 0.25
#: Delay of the first check after the start of the process.
_STARTUP_DELAY_S: Final = 2.0


def check_interval_s(checkers: int, reader_interval_s: float | None) -> float:
    """Return the mean time between the checks of one VM.

    Load pattern: the answers to the watches of all readers are lost, in a
    fleet of any size, and of one VM or two all are readers.  So each reader
    checks often enough by itself to find a change in time.  The other VMs do
    so together, as the store may serve them but not the readers.

    :param checkers: VMs that may exist and are no readers, this one included.
    :param reader_interval_s: interval if this VM is a reader, else ``None``.
    """
    if reader_interval_s is None:
        return checkers / _FLEET_CHECKS_PER_S
    return reader_interval_s


def until_turn_s(rank: int, interval_s: float, at_s: float) -> float:
    """Return the time until the next turn of a VM that is not a reader.

    Load pattern: hundreds of VMs start together, and each checks once a
    minute.  Turns by the time of day keep the checks evenly spaced, without
    messages; clocks that differ move some of them.

    :param rank: position of the VM in the order in which VMs check.
    :param interval_s: time between two turns of the same VM.
    :param at_s: time of day.
    """
    wait_s = interval_s - (at_s - rank / _FLEET_CHECKS_PER_S) % interval_s
    return wait_s if wait_s > _EARLY_TIMER_S else wait_s + interval_s


def needs_current(turn_s: float) -> bool:
    """Whether a turn asks for the current revision.

    Load pattern: no reader gets an answer, the other VMs do, and what the
    store answers to cheap reads is seconds old.  One turn a second finds a
    change in time even if the VM of one such turn has just failed.

    :param turn_s: time of the turn, by the time of day.
    """
    turn = round(turn_s * _FLEET_CHECKS_PER_S)
    return not turn % _TURNS_PER_CURRENT_CHECK


@final
class RevisionCheck:
    """Compares the store's revision with the catalog.

    The answer to a watch may never come, and a reader alone would notice only
    when its watch times out.  Both readers may be affected.  A VM that finds
    the store ahead of its catalog reads the missing changes and passes them
    on; a reader begins another watch.

    :ivar reader_interval_s: mean time between the checks of a reader.
    """

    def __init__(  # noqa: WPS211 -- one for each collaborator
        self,
        client: StoreClient,
        catalog: Catalog,
        members: Members,
        reader: StoreReader,
        log: EventLog,
        time_of_day_s: Callable[[], float] = time.time,
    ) -> None:
        """Store the arguments; :meth:`run` sends the first request.

        :param client: used by no other component, as it has one request at a
            time.
        :param time_of_day_s: the clock that VMs take turns by.
        """
        self.reader_interval_s = _STARTUP_DELAY_S
        self._client = client
        self._catalog = catalog
        self._members = members
        self._reader = reader
        self._log = log
        self._time_of_day_s = time_of_day_s

    async def run(self, random: Random) -> None:
        """Check when it is this VM's turn, until cancelled."""
        await asyncio.sleep(_STARTUP_DELAY_S)
        while True:
            allow_stale = await self._wait_for_turn(random)
            if self._catalog.as_of:
                await self._check(allow_stale=allow_stale)

    async def _wait_for_turn(self, random: Random) -> bool:
        """Wait until the next check of this VM is due.

        It may become a reader meanwhile, whose checks are due sooner.

        :returns: whether the answer to the check may be seconds old.
        """
        at_s = self._time_of_day_s()
        wait_s = until_turn_s(self._rank(), self._interval_s(), at_s)
        allow_stale = not needs_current(at_s + wait_s)
        while not self._members.is_reader(now_ms()):
            await asyncio.sleep(min(wait_s, _ROLE_CHECK_INTERVAL_S))
            wait_s -= _ROLE_CHECK_INTERVAL_S
            if wait_s <= 0:
                return allow_stale
        jitter = random.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(self.reader_interval_s * jitter)
        return True

    def _interval_s(self) -> float:
        is_reader = self._members.is_reader(now_ms())
        return check_interval_s(
            len(_list_checkers(self._members)),
            self.reader_interval_s if is_reader else None,
        )

    def _rank(self) -> int:
        """Return this VM's position in the order in which VMs check."""
        return rank_vms(_TURNS_KEY, _list_checkers(self._members)).index(
            self._members.own
        )

    async def _check(self, *, allow_stale: bool) -> None:
        sent_ms = now_ms()
        try:
            await self._compare(allow_stale=allow_stale)
        except StoreUnavailable as fault:
            self._reader.note_failed_call(fault, sent_ms)
            self._log.event('audit_failed', fault=repr(fault))

    async def _compare(self, *, allow_stale: bool) -> None:
        store_revision = await self._client.read_revision(
            allow_stale=allow_stale
        )
        self._reader.note_answer()
        if self._members.is_reader(now_ms()):
            # A removal that is deferred has been read and is not applied yet.
            if store_revision > self._reader.position:
                self._reader.expect_changes(store_revision)
            return
        if store_revision <= self._catalog.as_of:
            return
        await asyncio.sleep(_PROPAGATION_S)
        if store_revision > self._catalog.as_of:
            self._log.event(
                'readers_behind',
                store_is_at=revision_of(store_revision),
                store_era=era_of(store_revision),
                **log_fields(self._catalog.as_of),
            )
            await self._reader.catch_up(self._client)


def _list_checkers(members: Members) -> list[Address]:
    """List this VM and all others that may exist and are no readers."""
    readers = members.readers(now_ms())
    others = [vm for vm in members.known() if vm not in readers]
    return [members.own, *others]
