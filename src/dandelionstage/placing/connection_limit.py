"""Limit on one VM's connections to one backend server."""

from typing import Final

__all__ = ('max_connections_per_vm',)

#: Fraction of a server's connections that the VMs divide among themselves.
#: The rest covers connections that are being replaced, and servers that accept
#: fewer connections when busy.
_SHARED_FRACTION: Final = 0.8
#: A VM sends few concurrent requests to one server, so more connections than
#: this would stay unused.
_MAX_CONNECTIONS: Final = 16
#: Connections of one VM to a server whose limit is unknown.
_DEFAULT_CONNECTIONS: Final = 2


def max_connections_per_vm(accepted: int, vm_count: int) -> int:
    """Return an equal share of a server's connections, at least one.

    :param accepted: connections that the server accepts from all VMs
        together; 0 if unknown.
    :param vm_count: VMs that may connect to the server.
    """
    if not accepted:
        return _DEFAULT_CONNECTIONS
    share = int(accepted * _SHARED_FRACTION / max(1, vm_count))
    return max(1, min(_MAX_CONNECTIONS, share))
