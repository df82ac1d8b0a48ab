"""The settings of one daemon: its addresses, its peers and its logs."""

from enum import Enum, unique
from typing import Annotated, Final, final

from pydantic import Field, ValidationInfo, field_validator

from ..model.ids import DataCentreId
from .fields import (
    Count,
    DataCentreName,
    Host,
    Port,
    Section,
    VmName,
    check_unique,
)

__all__ = (
    'Bounds',
    'ConfigServiceAddress',
    'LogFormat',
    'LogLevel',
    'LogSettings',
    'SeedPeer',
    'Settings',
)

_MEBIBYTE: Final = 1_048_576
_MAX_STOP_MS: Final = 600_000


@unique
class LogLevel(Enum):
    """The least severe log line that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class LogFormat(Enum):
    """How log lines look; ``AUTO`` is text on a terminal, else JSON."""

    AUTO = 'auto'
    JSON = 'json'
    TEXT = 'text'


@final
class ConfigServiceAddress(Section):
    """Where the configuration service is read."""

    host: Host
    port: Port


@final
class SeedPeer(Section):
    """A daemon to ask first, before the published VM lists are known."""

    vm: VmName
    data_centre: DataCentreName
    host: Host
    inner_port: Port


@final
class LogSettings(Section):
    """What is logged, and how."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.AUTO


@final
class Bounds(Section):
    """How much one caller or peer may make the daemon hold.

    :ivar max_body_bytes: a larger request body is refused unread.
    :ivar max_caller_requests: callers' requests in flight at a time; more
        are refused unread.
    :ivar stop_ms: a planned stop ends after this long at the latest.
    """

    max_body_bytes: Count = _MEBIBYTE
    max_caller_requests: Count = 1000
    stop_ms: Annotated[Count, Field(le=_MAX_STOP_MS)] = 30_000


@final
class Settings(Section):
    """Everything a daemon cannot learn from published documents.

    :ivar vm: the daemon's name, as the published VM list has it.
    :ivar host: the address it listens on and is reached at.
    :ivar caller_port: HTTP for callers.
    :ivar inner_port: TCP and UDP for other daemons.
    :ivar operator_port: HTTP for operators: health, metrics and status.
    :ivar seed_peers: daemons to ask before the VM lists are known.
    :ivar data_centre_order: nearest first; the daemon's own comes first
        whether named or not, and those not named come last.
    """

    vm: VmName
    data_centre: DataCentreName
    host: Host
    caller_port: Port = 8080
    inner_port: Port = 7400
    operator_port: Port = 9400
    config_service: ConfigServiceAddress
    seed_peers: tuple[SeedPeer, ...] = ()
    data_centre_order: tuple[DataCentreName, ...] = ()
    log: LogSettings = LogSettings()
    bounds: Bounds = Bounds()

    @field_validator('inner_port', 'operator_port')
    @classmethod
    def check_port(cls, port: int, earlier: ValidationInfo) -> int:
        """Refuse a port that another listener of the daemon has."""
        for name in ('caller_port', 'inner_port'):
            if earlier.data.get(name) == port:
                raise ValueError('must differ from {0}'.format(name))
        return port

    @field_validator('seed_peers')
    @classmethod
    def check_peers(
        cls,
        peers: tuple[SeedPeer, ...],
        earlier: ValidationInfo,
    ) -> tuple[SeedPeer, ...]:
        """Refuse a peer named twice and the daemon as its own peer."""
        names = [peer.vm for peer in peers]
        check_unique(names)
        if earlier.data.get('vm') in names:
            raise ValueError('must not name the daemon itself')
        return peers

    @field_validator('data_centre_order')
    @classmethod
    def check_order(
        cls,
        order: tuple[DataCentreId, ...],
    ) -> tuple[DataCentreId, ...]:
        """Refuse a data centre named twice."""
        check_unique(order)
        return order
