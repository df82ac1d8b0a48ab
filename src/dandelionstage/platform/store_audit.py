"""Notices that the VMs that read the store have silently lost it."""

import asyncio
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..spread.members import Members
from .store_client import StoreClient, StoreUnavailable
from .store_reader import StoreReader

__all__ = ('StoreAudit',)

#: Questions a second that all VMs together ask, so that the cost does not
#: grow with the fleet; each costs a tenth of a read.
_RATE_PER_S: Final = 3.0
#: What is new reaches every VM within this time unless a reader is lost.
_SPREAD_S: Final = 0.25
_SECONDS_AT_START: Final = 2.0


@final
class StoreAudit:
    """Asks the store now and then how far it is, while others read it.

    A reader learns of a store that answers some VMs and is silent to others
    only when its watch is overdue; and both readers may be among those that
    get no answer.  Any other VM that finds the store ahead of what it was
    told reads what is missing and passes it on.
    """

    def __init__(
        self,
        client: StoreClient,
        catalog: Catalog,
        members: Members,
        reader: StoreReader,
        log: EventLog,
    ) -> None:
        """Prepare; nothing is asked before :meth:`run`."""
        self._client = client
        self._catalog = catalog
        self._members = members
        self._reader = reader
        self._log = log

    async def run(self, random: Random) -> None:
        """Ask at random times, until cancelled."""
        await asyncio.sleep(_SECONDS_AT_START)
        while True:
            rate_per_s = _RATE_PER_S / len(self._members)
            await asyncio.sleep(random.expovariate(rate_per_s))
            if self._catalog.as_of and not self._members.is_reader(now_ms()):
                await self._ask()

    async def _ask(self) -> None:
        try:
            await self._compare()
        except StoreUnavailable as fault:
            self._log.event('audit_failed', fault=repr(fault))

    async def _compare(self) -> None:
        store_is_at = await self._client.revision()
        if store_is_at <= self._catalog.as_of:
            return
        await asyncio.sleep(_SPREAD_S)
        if store_is_at > self._catalog.as_of:
            self._log.event(
                'readers_behind',
                store_is_at=store_is_at,
                as_of=self._catalog.as_of,
            )
            await self._reader.catch_up()
