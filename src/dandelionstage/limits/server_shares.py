"""This VM's shares of the slots and connections of backend servers."""

from collections import defaultdict
from typing import final

from ..configuration.topology import Topology
from ..model.ids import BackendId, DataCentreId, VmId
from .owner_keys import list_owner_keys
from .published_vms import list_published
from .server_split import connections_per_holder, slot_share
from .slot_account import SlotAccount

__all__ = ('ServerShares', 'SlotAccounts')

#: Slot accounts by backend server.
SlotAccounts = defaultdict[str, SlotAccount]


@final
class ServerShares:
    """Tracks this VM's share of each backend server in its data centre.

    The shares of all VMs together stay within a server's limits, whatever
    lists of VMs they follow, under two conditions: a running VM receives a
    new list within ``CONFIRMATION_TIMEOUT_MS`` less its longest attempt, and
    a VM is published as leaving, or has stopped, before it is removed from
    the list.

    :ivar accounts: slot accounts by backend server.
    """

    def __init__(self, vm: VmId, data_centre: DataCentreId) -> None:
        """Create shares without any server."""
        self.accounts: SlotAccounts = defaultdict(SlotAccount)
        self._base_connections: dict[BackendId, int] = {}
        self._vm = vm
        self._data_centre = data_centre

    def use_topology(self, topology: Topology, now_ms: float) -> None:
        """Apply newly published backend servers and VMs."""
        published = list_published(topology, self._data_centre)
        owner_keys = list_owner_keys(topology, self._data_centre)
        for backend, keys in owner_keys.items():
            server = topology.backends[backend].server
            self._base_connections[backend] = connections_per_holder(server)
            self.accounts[backend].own.follow(
                slot_share(self._vm, server, keys, published),
                published.listed,
                now_ms,
            )

    def connections(self, backend: BackendId, now_ms: float) -> int:
        """Return how many connections this VM may hold to a server."""
        account = self.accounts.get(backend)
        if account is None:
            return 0
        # Each usable slot, own or borrowed, allows one connection.
        connections = account.capacity(now_ms)
        if account.own.published.amount:
            return max(connections, self._base_connections[backend])
        return connections

    def require_confirmation(self, now_ms: float) -> None:
        """Require that all shares are confirmed again after a long pause."""
        for account in self.accounts.values():
            account.own.require_confirmation(now_ms)
