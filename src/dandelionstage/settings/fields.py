"""Field types, base class and checks of the settings."""

from collections.abc import Iterable
from ipaddress import ip_address
from typing import Annotated, Final

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from ..model.ids import DataCentreId, VmId

__all__ = (
    'DataCentreName',
    'Host',
    'Port',
    'PositiveInt',
    'Section',
    'VmName',
    'check_unique',
)

_MAX_PORT: Final = 65_535
_NAME_PATTERN: Final = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'


def _check_host(host: str) -> str:
    try:
        ip_address(host)
    except ValueError:
        raise ValueError('must be an IPv4 or IPv6 address') from None
    return host


def check_unique(names: Iterable[str]) -> None:
    """Check that no name occurs more than once.

    :raises ValueError: if a name occurs twice.
    """
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError('must not contain {0} more than once'.format(name))
        seen.add(name)


Port = Annotated[int, Field(strict=True, gt=0, le=_MAX_PORT)]
Host = Annotated[str, AfterValidator(_check_host)]
VmName = Annotated[VmId, Field(pattern=_NAME_PATTERN)]
DataCentreName = Annotated[DataCentreId, Field(pattern=_NAME_PATTERN)]
PositiveInt = Annotated[int, Field(strict=True, gt=0)]


class Section(BaseModel):
    """Base class of the sections of a settings file.

    Sections are immutable and reject unknown keys.
    """

    model_config = ConfigDict(
        frozen=True,
        extra='forbid',
        validate_default=True,
    )
