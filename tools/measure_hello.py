"""Bytes that hellos take of each VM, by the size of the fleet.

python -m tools.measure_hello
"""

import sys
from collections.abc import Iterator
from random import Random
from typing import Final

from dandelionstage.catalog.catalog import Catalog, Change
from dandelionstage.gateway.clock import now_ms
from dandelionstage.model.ids import VmId
from dandelionstage.operations.events import EventLog
from dandelionstage.spread.gossip_node import (
    FANOUT,
    MAX_ROUND_S,
    MIN_ROUND_S,
    GossipNode,
)
from dandelionstage.spread.members import Address
from dandelionstage.spread.pulls import PullLimits

__all__ = ('hello_bytes', 'main')

_SIZES: Final = (14, 141, 1000, 6700)
_DATA_CENTRES: Final = 21
_BYTE: Final = 256
#: UDP and IP headers.
_DATAGRAM_BYTES: Final = 28
_MEMORY_MB: Final = 256.0
_OWN: Final = Address(VmId('10.0.0.1:7380'))


def hello_bytes(vm_count: int) -> int:
    """Return the size of a hello in a fleet of so many VMs."""
    node = GossipNode(
        _OWN,
        'data-centre-0',
        Catalog(lambda _item: Change()),
        EventLog(len, now_ms),
        Random(1),
        PullLimits.within(_MEMORY_MB),
    )
    for number, vm in enumerate(_addresses(vm_count)):
        place = 'data-centre-{0}'.format(number % _DATA_CENTRES)
        node.members.record(vm, place, now_ms(), has_store=True)
    return len(node.encode_hello(wants_reply=False)) + _DATAGRAM_BYTES


def main() -> None:
    """Print the bytes of a hello and of a VM's hellos in a second."""
    round_s = (MIN_ROUND_S + MAX_ROUND_S) / 2
    for size in _SIZES:
        whole = hello_bytes(size)
        sys.stdout.write(
            '{0} VMs: {1} bytes a hello, {2:.0f} B/s sent and as much '
            'received\n'.format(size, whole, whole * FANOUT / round_s)
        )


def _addresses(vm_count: int) -> Iterator[Address]:
    for number in range(1, vm_count):
        high, low = divmod(number, _BYTE)
        yield Address(VmId('10.1.{0}.{1}:7380'.format(high, low)))


if __name__ == '__main__':
    main()
