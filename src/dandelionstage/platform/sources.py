"""Where a VM on the platform has its knowledge from."""

import asyncio
from contextlib import AsyncExitStack
from random import Random
from typing import final

from ..catalog.catalog import Catalog
from ..lifecycle.resource_owner import ResourceOwner
from ..model.ids import VmId
from ..operations.events import EventLog
from ..spread.frames import host_and_port
from ..spread.gossip_node import GossipNode
from ..spread.members import Address
from .documents import Interpreter
from .settings import BootSettings
from .store_audit import StoreAudit
from .store_client import StoreClient
from .store_reader import StoreReader

__all__ = ('Sources',)


@final
class Sources(ResourceOwner):
    """Fills the catalog from the store and from other VMs.

    :ivar catalog: the newest that is known.
    :ivar spread: the talk with other VMs.
    :ivar own_vm: this VM's name among them.
    """

    def __init__(
        self, settings: BootSettings, log: EventLog, random: Random
    ) -> None:
        """Build the parts; nothing is opened before this is entered."""
        self.catalog = Catalog(Interpreter(log))
        self.own_vm = _address(settings, settings.ip)
        self.spread = GossipNode(
            self.own_vm,
            settings.zone,
            self.catalog,
            log,
            random,
        )
        self._client = StoreClient(*host_and_port(settings.platform.address))
        self._reader = StoreReader(
            self._client, self.catalog, self.spread.members, log, random
        )
        self._reader.on_news = self.spread.announce_changes
        self._audit = StoreAudit(
            self._client, self.catalog, self.spread.members, self._reader, log
        )
        self._random = random
        self.use_settings(settings)

    def use_settings(self, settings: BootSettings) -> None:
        """Follow changed settings."""
        self._reader.watch_ms = settings.watch_ms
        self.spread.replace_seeds(
            _address(settings, host_and_port(seed)[0])
            for seed in settings.seeds
        )

    async def _open(self, stack: AsyncExitStack) -> None:
        stack.callback(self._client.close)
        await stack.enter_async_context(self.spread)
        reading = asyncio.get_running_loop().create_task(self._reader.run())
        stack.callback(reading.cancel)
        auditing = self._audit.run(self._random)
        stack.callback(asyncio.get_running_loop().create_task(auditing).cancel)


def _address(settings: BootSettings, host: str) -> Address:
    return Address(VmId(settings.inner_address(host)))
