"""Defines the settings of one daemon."""

from enum import Enum, unique
from typing import Annotated, Final, final

from pydantic import Field, ValidationInfo, field_validator

from ..model.ids import DataCentreId
from .fields import (
    DataCentreName,
    Host,
    Port,
    PositiveInt,
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
    """Lowest severity of the log lines that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class LogFormat(Enum):
    """Format of log lines; ``AUTO`` is text on a terminal, otherwise JSON."""

    AUTO = 'auto'
    JSON = 'json'
    TEXT = 'text'


@final
class ConfigServiceAddress(Section):
    """Address of the configuration service."""

    host: Host
    port: Port


@final
class SeedPeer(Section):
    """Address of a daemon to contact before the published VM lists are read."""

    vm: VmName
    data_centre: DataCentreName
    host: Host
    inner_port: Port


@final
class LogSettings(Section):
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.AUTO


@final
class Bounds(Section):
    """Limits on request size, concurrent requests and stop time.

    :ivar max_body_bytes: maximum size of a request body; the rest of a larger
        one is not read.
    :ivar max_caller_requests: maximum number of callers' requests in flight;
        further requests are refused before they are read.
    :ivar stop_ms: maximum time, in milliseconds, that a planned stop waits for
        requests in flight and open tickets.
    """

    max_body_bytes: PositiveInt = _MEBIBYTE
    max_caller_requests: PositiveInt = 1000
    stop_ms: Annotated[PositiveInt, Field(le=_MAX_STOP_MS)] = 30_000


@final
class Settings(Section):
    """Settings that a daemon reads from its own file.

    Contracts, workloads, backend servers and VM lists come from the documents
    that the configuration service publishes.

    :ivar vm: name of the daemon's VM in the published VM list.
    :ivar data_centre: data centre of the VM.
    :ivar host: IP address to listen on; callers, operators and other daemons
        connect to the same address.
    :ivar caller_port: HTTP port for callers.
    :ivar inner_port: TCP and UDP port for other daemons.
    :ivar operator_port: HTTP port for operators: health, metrics and status.
    :ivar config_service: address of the configuration service.
    :ivar seed_peers: daemons to contact before the published VM lists are
        read.
    :ivar data_centre_order: data centres, nearest first. The daemon's own is
        always first, listed or not; unlisted ones come last.
    :ivar log: level and format of the log.
    :ivar bounds: limits on requests and on the time that a stop waits for
        them.
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
    def check_port(cls, port: int, info: ValidationInfo) -> int:
        """Reject a port that another listener of the daemon uses."""
        for name in ('caller_port', 'inner_port'):
            if info.data.get(name) == port:
                raise ValueError('must differ from {0}'.format(name))
        return port

    @field_validator('seed_peers')
    @classmethod
    def check_seed_peers(
        cls,
        peers: tuple[SeedPeer, ...],
        info: ValidationInfo,
    ) -> tuple[SeedPeer, ...]:
        """Reject duplicate peers, and the daemon as its own peer."""
        names = [peer.vm for peer in peers]
        check_unique(names)
        if info.data.get('vm') in names:
            raise ValueError('must not contain the daemon itself')
        return peers

    @field_validator('data_centre_order')
    @classmethod
    def check_data_centre_order(
        cls,
        order: tuple[DataCentreId, ...],
    ) -> tuple[DataCentreId, ...]:
        """Reject duplicate data centres."""
        check_unique(order)
        return order
