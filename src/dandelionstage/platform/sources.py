"""The sources of the catalog: the store and the other VMs."""

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from random import Random
from typing import Final, final

from ..catalog.catalog import Catalog
from ..catalog.older_entries import OlderEntries
from ..catalog.positions import log_fields
from ..gateway.clock import now_ms
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..operations.events import EventLog
from ..operations.supervision import start_supervised
from ..spread.frames import host_and_port
from ..spread.gossip_node import GossipNode
from ..spread.members import Address
from ..spread.pulls import PullLimits
from .entry_parser import EntryParser
from .revision_check import RevisionCheck
from .settings import BootSettings
from .store_client import StoreClient
from .store_reader import StoreReader

__all__ = ('CatalogSources',)

#: Interval of the checks for older entries.
_OLDER_ENTRIES_INTERVAL_S: Final = 0.5


@final
class CatalogSources(ResourceOwner):
    """Keeps the catalog up to date from the store and from other VMs.

    :ivar catalog: the newest known routes and servers.
    :ivar spread: the gossip with other VMs.
    :ivar own_vm: this VM's name in the gossip.
    """

    def __init__(
        self, settings: BootSettings, log: EventLog, random: Random
    ) -> None:
        """Create the components; entering this object opens them."""
        self.catalog = Catalog(EntryParser(log))
        self.own_vm = _address(settings, settings.ip)
        self.spread = GossipNode(
            self.own_vm,
            settings.zone,
            self.catalog,
            log,
            random,
            PullLimits.within(settings.limits.memory_mb),
        )
        self._client = StoreClient(*host_and_port(settings.platform.address))
        # The answer to a check must not wait for that to a watch.
        self._check_client = StoreClient(
            *host_and_port(settings.platform.address)
        )
        self._reader = StoreReader(
            self._client,
            self.catalog,
            self.spread.members,
            log,
            random,
            self.spread.outages,
        )
        self._reader.on_change = self.spread.announce_changes
        self._revision_check = RevisionCheck(
            self._check_client,
            self.catalog,
            self.spread.members,
            self._reader,
            log,
        )
        self._older_entries = OlderEntries(settings.entry_expiry_ms)
        self._random = random
        self._log = log
        self.apply_settings(settings)

    def apply_settings(self, settings: BootSettings) -> None:
        """Apply the times of the store and the addresses of the seeds."""
        self._reader.watch_ms = settings.watch_ms
        self._revision_check.reader_interval_s = (
            settings.reader_check_interval_s
        )
        # Its removals count as those of a stable store after this time.
        self.spread.outages.recent_ms = settings.bounds.stability_window_ms
        self._older_entries.expiry_ms = settings.entry_expiry_ms
        self.spread.replace_seeds(
            _address(settings, host_and_port(seed)[0])
            for seed in settings.seeds
        )

    async def _open(self, stack: AsyncExitStack) -> None:
        stack.callback(self._client.close)
        stack.callback(self._check_client.close)
        await stack.enter_async_context(self.spread)
        read_task = start_supervised(
            'store reader', self._reader.run, self._log
        )
        stack.callback(read_task.cancel)
        check_task = start_supervised(
            'revision check',
            partial(self._revision_check.run, self._random),
            self._log,
        )
        stack.callback(check_task.cancel)
        older_task = start_supervised(
            'older entries', self._accept_older_entries, self._log
        )
        stack.callback(older_task.cancel)

    async def _accept_older_entries(self) -> None:
        """Use older entries that a restored store has kept."""
        while True:
            await asyncio.sleep(_OLDER_ENTRIES_INTERVAL_S)
            older = self.catalog.older_entries()
            for entry in self._older_entries.list_kept(older, now_ms()):
                self._log.event(
                    'entry_kept', key=entry.key, **log_fields(entry.revision)
                )
                self.catalog.accept_older(entry)


def _address(settings: BootSettings, host: str) -> Address:
    return Address(VmId(settings.gossip_address(host)))
