"""Free ports on loopback."""

import random
import socket
from collections.abc import Sequence
from typing import Final, final

__all__ = ('LOOPBACK', 'PortPicker')

LOOPBACK: Final = '127.0.0.1'

#: Below the range from which outgoing connections take their ports, so that
#: the port of a process that is down stays free until it is started again.
_LOWEST: Final = 10_000
_HIGHEST: Final = 32_000
#: More than any fleet here needs.
_BLOCK_PORTS: Final = 400


@final
class PortPicker:
    """Picks ports that are free for TCP and UDP, each once.

    It holds the first port of a block while it lives, so that other fleets
    on the machine pick from other blocks: a port is not free for long
    between its pick and its use.
    """

    def __init__(self) -> None:
        """Find a block that no other picker holds."""
        blocks = range(_LOWEST, _HIGHEST, _BLOCK_PORTS)
        shuffled = random.SystemRandom().sample(blocks, len(blocks))
        self._guard = _hold_first(shuffled)
        first: int = self._guard.getsockname()[1]
        self._ports = iter(range(first + 1, first + _BLOCK_PORTS))

    def pick(self) -> int:
        """Pick a free port.

        :raises OSError: the block is used up.
        """
        for port in self._ports:
            if _is_free(port):
                return port
        raise OSError('more than {0} ports wanted'.format(_BLOCK_PORTS))


def _hold_first(blocks: Sequence[int]) -> socket.socket:
    for block in blocks:
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((LOOPBACK, block))
        except OSError:
            guard.close()
        else:
            return guard
    raise OSError('every block of ports is held')


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
