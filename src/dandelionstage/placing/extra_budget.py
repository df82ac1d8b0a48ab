"""Bounds extra attempts of all VMs together without any talk between them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

from ..catalog.routes import ServiceId

__all__ = ('BudgetTerms', 'ExtraBudgets')

#: Part of this VM's share that is used; the rest covers requests that are
#: counted a little later at the servers than here.
_USED_FRACTION: Final = 0.85
#: Part of the slack that may be spent at once; the rest comes back evenly
#: over the window, so that no window sees more than the whole.
_AT_ONCE_FRACTION: Final = 0.5
_MS_PER_S: Final = 1000.0


@final
@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """What the whole fleet may send beyond the first attempts.

    :ivar ratio: extra attempts for each request.
    :ivar slack: extra attempts in any window besides.
    """

    ratio: float
    slack: float
    window_s: float


@final
@dataclass(slots=True)
class _Account:
    tokens: float
    updated_ms: float


@final
class ExtraBudgets:  # noqa: WPS214 -- one account book, short methods
    """A token bucket for each service, holding this VM's share.

    Shares sum up to less than the whole however the VMs are cut off from
    each other, because every VM that was ever known counts.
    """

    def __init__(self, terms: BudgetTerms, vm_count: Callable[[], int]) -> None:
        """Start with full buckets.

        :param vm_count: VMs that may send, dead or cut off ones included.
        """
        self._terms = terms
        self._vm_count = vm_count
        self._accounts: dict[ServiceId, _Account] = {}

    def use_terms(self, terms: BudgetTerms) -> None:
        """Follow changed settings."""
        self._terms = terms

    def earn(self, service: ServiceId, now_ms: float) -> None:
        """Count a request for a service."""
        account = self._refilled(service, now_ms)
        account.tokens = min(
            account.tokens + self._terms.ratio * _USED_FRACTION,
            max(self._at_once(), 1),
        )

    def take(self, service: ServiceId, now_ms: float) -> bool:
        """Spend one extra attempt, if there is one."""
        account = self._refilled(service, now_ms)
        if account.tokens < 1:
            return False
        account.tokens -= 1
        return True

    def left(self, service: ServiceId, now_ms: float) -> float:
        """Tell how many extra attempts may be started now."""
        return self._refilled(service, now_ms).tokens

    def _at_once(self) -> float:
        return self._share() * _AT_ONCE_FRACTION

    def _share(self) -> float:
        return self._terms.slack * _USED_FRACTION / max(1, self._vm_count())

    def _refilled(self, service: ServiceId, now_ms: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = _Account(self._at_once(), now_ms)
            self._accounts[service] = account
        rest_of_share = self._share() * (1 - _AT_ONCE_FRACTION)
        elapsed_windows = (now_ms - account.updated_ms) / (
            self._terms.window_s * _MS_PER_S
        )
        limit = max(self._at_once(), 1)
        if account.tokens < limit:
            account.tokens = min(
                limit, account.tokens + elapsed_windows * rest_of_share
            )
        account.updated_ms = now_ms
        return account
