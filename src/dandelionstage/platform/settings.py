"""Settings of one gateway process, as the platform writes them."""

from typing import Final, final

import msgspec

from ..placing.fleet_retry_budget import RetryBudgetLimits
from ..placing.warm_up import ColdTolerance

__all__ = ('BootSettings',)

_CAMEL: Final = 'camel'
#: Shortest and longest watch of the store.
_MIN_WATCH_MS: Final = 1000
_MAX_WATCH_MS: Final = 30_000
#: Time that a change takes to all VMs once a watch has ended without an answer:
#: the rest of its time-out, another attempt, and its way from VM to VM.
_LOST_WATCH_MS: Final = 2000
#: Revision checks of a reader of the store in a stability window.
_CHECKS_PER_STABILITY_WINDOW: Final = 3
_MS_PER_S: Final = 1000.0
#: Memory of the smallest VM, assumed if the settings do not state it.
_DEFAULT_MEMORY_MB: Final = 150.0
#: Descriptors of the smallest VM, and those reserved for files.
_DEFAULT_MAX_FDS: Final = 1535
_FILE_FDS: Final = 200
#: Fraction of the sockets that callers may have; the others are for servers and
#: other VMs.
_CALLERS_SOCKETS_FRACTION: Final = 0.5
#: Fraction of the memory that the requests of callers may take.
_REQUESTS_FRACTION: Final = 0.1
#: Fraction of the memory that unfinished messages may take.
_UNFINISHED_FRACTION: Final = 0.05
_BYTES_PER_MB: Final = 1_000_000
_DEFAULT_HEARTBEAT_MS: Final = 1200.0
#: The store removes an entry after three heartbeats without news.
_HEARTBEATS_PER_EXPIRY: Final = 4


@final
class _ListenAddresses(msgspec.Struct, frozen=True):
    """Listening addresses, each as ``host:port``.

    :ivar front: for callers.
    :ivar ready: for the readiness check of the platform.
    """

    front: str
    ready: str


@final
class _Bounds(msgspec.Struct, frozen=True, rename=_CAMEL):
    """Bounds that the platform sets for the process.

    :ivar stability_window_ms: time after a fault within which all bounds
        must hold again.
    :ivar config_apply_ms: time within which a change of the configuration
        must be in force.
    :ivar drain_ms: time within which a server that leaves must get nothing
        more.
    :ivar grace_s: time from the stop signal until the process is killed.
    :ivar retry_budget_ratio: extra attempts allowed per request.
    :ivar budget_window_s: time window of the retry budget.
    :ivar retry_budget_slack: further extra attempts allowed per window,
        whatever the number of requests.
    :ivar warmup_overshoot: requests that a cold server bears in a second, as
        a multiple of its rate.
    :ivar warmup_slack: further requests that it bears in a second.
    """

    stability_window_ms: float
    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_budget_slack: float
    config_apply_ms: float = 3000
    drain_ms: float = 3000
    warmup_overshoot: float = 1
    warmup_slack: float = 0


@final
class _VmLimits(msgspec.Struct, frozen=True, rename=_CAMEL):
    """Resources of the VM.

    :ivar memory_mb: the process is killed if it takes more memory.
    :ivar max_fds: descriptors that it may have open.
    """

    memory_mb: float = _DEFAULT_MEMORY_MB
    max_fds: int = _DEFAULT_MAX_FDS


@final
class _StoreSettings(msgspec.Struct, frozen=True):
    address: str


@final
class BootSettings(  # noqa: WPS214 -- short properties
    msgspec.Struct, frozen=True, rename=_CAMEL
):
    """The fields of the settings file that the process uses.

    :ivar node_name: name of this VM.
    :ivar ip: address of this VM for other VMs and for the metrics page.
    :ivar zone: its data centre.
    :ivar listen_addrs: addresses for callers and for the readiness check.
    :ivar internal_port_range: first and last of the ports reserved for
        traffic between VMs.
    :ivar seeds: addresses of some VMs, possibly stale; only the host is used.
    :ivar platform: address of the store.
    :ivar limits: resources of this VM.
    :ivar heartbeat_ms: time after which a server renews its entry.
    """

    node_name: str
    ip: str
    zone: str
    listen_addrs: _ListenAddresses
    internal_port_range: tuple[int, int]
    seeds: tuple[str, ...]
    bounds: _Bounds
    platform: _StoreSettings
    limits: _VmLimits = _VmLimits()
    heartbeat_ms: float = _DEFAULT_HEARTBEAT_MS

    @property
    def retry_budget_limits(self) -> RetryBudgetLimits:
        """Limits on the extra attempts of the whole fleet."""
        return RetryBudgetLimits(
            ratio=self.bounds.retry_budget_ratio,
            slack=self.bounds.retry_budget_slack,
            window_s=self.bounds.budget_window_s,
        )

    @property
    def cold_tolerance(self) -> ColdTolerance:
        """By how much a cold server bears more than its rate."""
        return ColdTolerance(
            self.bounds.warmup_overshoot, self.bounds.warmup_slack
        )

    @property
    def watch_ms(self) -> int:
        """Time in ms that a watch of the store waits for a change.

        A watch whose answer was lost must end in time for a change that comes
        a stability window after the fault.  Revision checks often end it
        earlier, but their answers may be seconds old.
        """
        in_force_ms = min(self.bounds.config_apply_ms, self.bounds.drain_ms)
        longest_ms = (
            self.bounds.stability_window_ms + in_force_ms - _LOST_WATCH_MS
        )
        return int(min(max(longest_ms, _MIN_WATCH_MS), _MAX_WATCH_MS))

    @property
    def reader_check_interval_s(self) -> float:
        """Mean time in s between the revision checks of a reader."""
        return (
            self.bounds.stability_window_ms
            / _CHECKS_PER_STABILITY_WINDOW
            / _MS_PER_S
        )

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of messages being received that the process may hold."""
        return int(self.limits.memory_mb * _BYTES_PER_MB * _UNFINISHED_FRACTION)

    @property
    def request_bytes(self) -> int:
        """Memory that the process may hold for the requests of callers."""
        return int(self.limits.memory_mb * _BYTES_PER_MB * _REQUESTS_FRACTION)

    @property
    def caller_connections(self) -> int:
        """Number of connections that callers may have open."""
        sockets = max(0, self.limits.max_fds - _FILE_FDS)
        return max(1, int(sockets * _CALLERS_SOCKETS_FRACTION))

    @property
    def entry_expiry_ms(self) -> float:
        """Time after which the entry of a server that is gone is removed."""
        return self.heartbeat_ms * _HEARTBEATS_PER_EXPIRY

    def gossip_address(self, host: str) -> str:
        """Return the gossip address of a VM: the first internal port."""
        return '{0}:{1}'.format(host, self.internal_port_range[0])

    def relay_address(self, host: str) -> tuple[str, int]:
        """Return the relay address of a VM: the second internal port."""
        return host, self.internal_port_range[0] + 1
