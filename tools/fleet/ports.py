"""Free ports on loopback."""

import random
import socket
from typing import Final, final

__all__ = ('LOOPBACK', 'PortPicker')

LOOPBACK: Final = '127.0.0.1'

#: Below the range from which outgoing connections take their ports, so that
#: the port of a process that is down stays free until it is started again.
_LOWEST: Final = 10_000
_HIGHEST: Final = 32_000


@final
class PortPicker:
    """Picks ports that are free for TCP and UDP, each once."""

    def __init__(self) -> None:
        """Start with no port picked."""
        self._random = random.SystemRandom()
        self._picked: set[int] = set()

    def pick(self) -> int:
        """Pick a free port."""
        port = self._random.randint(_LOWEST, _HIGHEST)
        while port in self._picked or not _is_free(port):
            port = self._random.randint(_LOWEST, _HIGHEST)
        self._picked.add(port)
        return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
