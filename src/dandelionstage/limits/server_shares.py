"""Shares of backend servers among the VMs of a data centre."""

from collections import defaultdict
from typing import final

from ..configuration.topology import Topology
from ..model.ids import BackendId, DataCentreId, VmId
from .owner_keys import list_owner_keys
from .published_vms import list_published
from .server_split import connections_per_holder, slot_share
from .slot_account import SlotAccount

__all__ = ('SlotAccounts', 'ServerShares')

#: By backend server.
SlotAccounts = defaultdict[str, SlotAccount]


@final
class ServerShares:
    """Keeps this VM's share of each server of its data centre.

    The shares of all VMs together stay under a server's limits, whatever
    each believes of the others, under two conditions: a VM that runs sees
    a new list within ``SETTLE_MS`` less its longest attempt, and one is
    published as leaving, or has stopped, before it is listed no more.

    :ivar accounts: the slots of each server.
    """

    def __init__(self, vm: VmId, data_centre: DataCentreId) -> None:
        """Start without any server."""
        self.accounts: SlotAccounts = defaultdict(SlotAccount)
        self._connections: dict[BackendId, int] = {}
        self._vm = vm
        self._data_centre = data_centre

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Follow the published servers and VMs."""
        published = list_published(topology, self._data_centre)
        owner_keys = list_owner_keys(topology, self._data_centre)
        for backend, keys in owner_keys.items():
            server = topology.backends[backend].server
            self._connections[backend] = connections_per_holder(server)
            self.accounts[backend].own.follow(
                slot_share(self._vm, server, keys, published),
                published.listed,
                now_ms,
            )

    def connections(self, backend: BackendId, now_ms: float) -> int:
        """Say how many connections this VM may hold to a server."""
        account = self.accounts.get(backend)
        if account is None:
            return 0
        # A slot, own or borrowed, always comes with a connection.
        connections = account.capacity(now_ms)
        if account.own.published.amount:
            return max(connections, self._connections[backend])
        return connections

    def require_confirmation(self, now_ms: float) -> None:
        """Have all shares confirmed anew after a long pause."""
        for account in self.accounts.values():
            account.own.require_confirmation(now_ms)
