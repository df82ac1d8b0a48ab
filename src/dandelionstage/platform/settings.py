"""The settings file as the platform fills it in."""

import os
from collections.abc import Mapping
from typing import Final, final

import msgspec

from ..placing.extra_budget import BudgetTerms

__all__ = ('BootSettings', 'SettingsError', 'read_settings', 'settings_path')

#: Where the platform says the file lies, and where it lies otherwise.
_PATH_VARIABLE: Final = 'DANDELIONSTAGE_BOOT'
_DEFAULT_PATH: Final = '/etc/dandelionstage/boot.yaml'


class SettingsError(Exception):
    """The settings file cannot be used; the message names the field."""


@final
class _Listen(msgspec.Struct, frozen=True):
    """Addresses, each as host and port.

    :ivar front: for callers.
    :ivar ready: where the platform asks whether callers may be sent.
    :ivar control: free for the product's own use.
    """

    front: str
    ready: str
    control: str


@final
class _Limits(msgspec.Struct, frozen=True, rename='camel'):
    max_fds: int


@final
class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    stability_window_ms: float
    grace_s: float
    drain_ms: float
    config_apply_ms: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_budget_slack: float


@final
class _Store(msgspec.Struct, frozen=True):
    address: str


@final
class BootSettings(msgspec.Struct, frozen=True, rename='camel'):
    """What one process is told of itself and of the platform.

    :ivar node_name: this VM.
    :ivar zone: its data centre.
    :ivar zones: the region of each data centre.
    :ivar seeds: control addresses of some VMs, perhaps stale.
    :ivar internal_port_range: ports free for talk between VMs, both ends
        included.
    """

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen_addrs: _Listen
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    limits: _Limits
    bounds: _Bounds
    platform: _Store

    @property
    def budget_terms(self) -> BudgetTerms:
        """What the whole fleet may send beyond first attempts."""
        return BudgetTerms(
            ratio=self.bounds.retry_budget_ratio,
            slack=self.bounds.retry_budget_slack,
            window_s=self.bounds.budget_window_s,
        )


def settings_path(environment: Mapping[str, str] = os.environ) -> str:
    """Return where the settings file lies."""
    return environment.get(_PATH_VARIABLE, _DEFAULT_PATH)


def read_settings(path: str) -> BootSettings:
    """Read and check the settings file.

    :raises SettingsError: when it cannot be read or a field is at fault.
    """
    try:
        with open(path, 'rb') as settings_file:
            return msgspec.json.decode(settings_file.read(), type=BootSettings)
    except OSError as error:
        raise SettingsError('{0}: {1}'.format(path, error.strerror)) from error
    except msgspec.MsgspecError as fault:
        raise SettingsError('{0}: {1}'.format(path, fault)) from fault
