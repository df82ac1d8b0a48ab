"""How many connections one VM may hold to one backend server."""

from typing import Final

__all__ = ('max_connections_per_vm',)

#: Part of a server's connections that the VMs share; the rest is for those
#: that are being replaced, and for a server that accepts fewer when busy.
_SHARED_FRACTION: Final = 0.8
#: More than this are of no use: a VM sends a server few requests at a time.
_MOST_LINKS: Final = 16
_UNKNOWN_LINKS: Final = 2


def max_connections_per_vm(accepted: int, vm_count: int) -> int:
    """Share a server's connections evenly; at least one for each VM.

    :param accepted: connections that the server accepts from all VMs
        together; 0 when it does not say.
    """
    if not accepted:
        return _UNKNOWN_LINKS
    share = int(accepted * _SHARED_FRACTION / max(1, vm_count))
    return max(1, min(_MOST_LINKS, share))
