"""What one process is told of itself and of the platform."""

from typing import Final, final

import msgspec

from ..placing.fleet_retry_budget import RetryBudgetLimits

__all__ = ('BootSettings',)

_CAMEL: Final = 'camel'
#: Watches are that much longer than the time after which bounds hold again.
_WATCH_WINDOWS: Final = 2


@final
class _Listen(msgspec.Struct, frozen=True):
    """Addresses, each as host and port.

    :ivar front: for callers.
    :ivar ready: where the platform asks whether callers may be sent.
    """

    front: str
    ready: str


@final
class _Bounds(msgspec.Struct, frozen=True, rename=_CAMEL):
    """What is judged.

    :ivar stability_window_ms: bounds hold again so long after a fault.
    :ivar grace_s: from the request to stop to the kill.
    """

    stability_window_ms: float
    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_budget_slack: float


@final
class _Store(msgspec.Struct, frozen=True):
    address: str


@final
class BootSettings(msgspec.Struct, frozen=True, rename=_CAMEL):
    """The settings file, without what the product has no use for.

    :ivar node_name: this VM.
    :ivar zone: its data centre.
    :ivar internal_port_range: ports free for talk between VMs, both ends
        included.
    :ivar seeds: addresses of some VMs, perhaps stale; only the host counts.
    :ivar platform: the store.
    """

    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listen
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bounds: _Bounds
    platform: _Store

    @property
    def budget_terms(self) -> RetryBudgetLimits:
        """What the whole fleet may send beyond first attempts."""
        return RetryBudgetLimits(
            ratio=self.bounds.retry_budget_ratio,
            slack=self.bounds.retry_budget_slack,
            window_s=self.bounds.budget_window_s,
        )

    @property
    def watch_ms(self) -> int:
        """How long a watch of the store waits for a change.

        One that is lost in silence does not matter for long: the other VMs
        notice that the readers are behind.
        """
        return int(self.bounds.stability_window_ms * _WATCH_WINDOWS)

    def inner_address(self, host: str) -> str:
        """Where a VM talks to the others: on the first of the free ports."""
        return '{0}:{1}'.format(host, self.internal_port_range[0])

    def relay_port(self, host: str) -> tuple[str, int]:
        """Where a VM takes shards of queries: on the next free port."""
        return host, self.internal_port_range[0] + 1
