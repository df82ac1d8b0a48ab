"""The id and the address of a server as an entry of the store states them."""

import re
import socket
from typing import Final

from ..catalog.servers import ServerId

__all__ = ('check_server_id', 'parse_address', 'server_of')

_SERVERS_PREFIX: Final = 'servers/'
#: Visible characters of ASCII, as the id is sent in a header.
_SERVER_ID: Final = re.compile('[!-~]+')
_PORT: Final = re.compile('[0-9]{1,5}')
_MAX_PORT: Final = 65_535


def server_of(key: str) -> ServerId | None:
    """Return the server that an entry is about, ``None`` if about none.

    :param key: key of the entry.
    """
    if not key.startswith(_SERVERS_PREFIX):
        return None
    return ServerId(key.removeprefix(_SERVERS_PREFIX))


def check_server_id(server: str) -> None:
    """Check that a header can hold the id of a server.

    :raises ValueError: if it cannot.
    """
    if not _SERVER_ID.fullmatch(server):
        raise ValueError('the id of the server fits in no header')


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and port of a server.

    :raises ValueError: if the address is not an IPv4 address with a port.
    """
    host, _, port = address.rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError('bad port in server address {0!r}'.format(address))
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as fault:
        raise ValueError(
            'bad host in server address {0!r}'.format(address)
        ) from fault
    return host, int(port)
