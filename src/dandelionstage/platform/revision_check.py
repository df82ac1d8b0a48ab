"""Detects that the readers of the store no longer receive its changes."""

import asyncio
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.positions import era_of, log_fields, revision_of
from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..spread.members import Members
from .store_client import StoreClient, StoreUnavailable
from .store_reader import StoreReader

__all__ = ('RevisionCheck',)

#: Checks per second of all VMs together, so that the load on the store does
#: not grow with the fleet; a check costs a tenth of a read.
_FLEET_CHECKS_PER_S: Final = 3.0
#: A change reaches every VM within this time unless a reader has failed.
_PROPAGATION_S: Final = 0.25
#: Delay of the first check after the start of the process.
_STARTUP_DELAY_S: Final = 2.0


@final
class RevisionCheck:
    """Compares the store's revision with the catalog while others read it.

    Two VMs of the fleet are the readers of the store.  If the store answers
    some VMs but not others, a reader notices it only when its watch times
    out, and both readers may be affected.  Any other VM that finds the store
    ahead of its catalog reads the missing changes and passes them on.
    """

    def __init__(
        self,
        client: StoreClient,
        catalog: Catalog,
        members: Members,
        reader: StoreReader,
        log: EventLog,
    ) -> None:
        """Store the arguments; :meth:`run` sends the first request."""
        self._client = client
        self._catalog = catalog
        self._members = members
        self._reader = reader
        self._log = log

    async def run(self, random: Random) -> None:
        """Check at random times, until cancelled."""
        await asyncio.sleep(_STARTUP_DELAY_S)
        while True:
            rate_per_s = _FLEET_CHECKS_PER_S / len(self._members)
            await asyncio.sleep(random.expovariate(rate_per_s))
            if self._catalog.as_of and not self._members.is_reader(now_ms()):
                await self._check()

    async def _check(self) -> None:
        try:
            await self._compare()
        except StoreUnavailable as fault:
            self._log.event('audit_failed', fault=repr(fault))

    async def _compare(self) -> None:
        store_revision = await self._client.read_revision()
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
            await self._reader.catch_up()
