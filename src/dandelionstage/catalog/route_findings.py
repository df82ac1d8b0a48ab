"""Published entries that can never match, and values that contradict."""

from collections.abc import Iterator, Mapping
from dataclasses import fields
from typing import Any, Final

from .findings import Finding, FindingKind
from .routes import CallerLimits, Gather, Route, RouteTable, Service

__all__ = ('find_problems',)

_SLASH: Final = '/'


def find_problems(table: RouteTable) -> Iterator[Finding]:
    """List entries that can never match, and values that contradict."""
    yield from _check_limits(table.limits)
    for service in table.services.values():
        yield from _check_service(service)
    for route in table:
        place = 'route {0}'.format(route.name)
        for problem in _never_matches(route):
            yield Finding(FindingKind.NEVER_MATCHES, place, problem)
        for problem in _contradictions(route, table.services):
            yield Finding(FindingKind.CONTRADICTION, place, problem)


def _never_matches(route: Route) -> Iterator[str]:
    if not (route.prefix.startswith(_SLASH) and route.prefix.endswith(_SLASH)):
        yield 'prefix {0!r} does not begin and end with a slash'.format(
            route.prefix
        )
    if ':' in route.host:
        yield 'host {0!r} has a port, which requests are looked up without'
    for share in route.shares:
        if share.weight <= 0 and len(route.shares) > 1:
            yield 'service {0} has no weight'.format(share.service)


def _contradictions(
    route: Route, services: Mapping[Any, Service]
) -> Iterator[str]:
    if route.timeout_ms <= 0:
        yield 'the timeout is {0:g} ms'.format(route.timeout_ms)
    if route.target_ms > route.timeout_ms:
        yield 'the target of {0:g} ms is above the timeout of {1:g} ms'.format(
            route.target_ms, route.timeout_ms
        )
    used = [share.service for share in route.shares]
    if route.gather is not None:
        used = list(route.gather.shards)
        yield from _gather_contradictions(route.gather)
    elif sum(max(0, share.weight) for share in route.shares) <= 0:
        yield 'no service has a weight'
    for unknown in sorted(set(used) - services.keys()):
        yield 'service {0} is not among the services'.format(unknown)


def _gather_contradictions(gather: Gather) -> Iterator[str]:
    if gather.least_coverage > 1:
        yield 'no answer covers more than all shards'
    if gather.record_count < 1:
        yield 'an answer of no records is wanted'
    if len(set(gather.shards)) < len(gather.shards):
        yield 'a shard is named twice'


def _check_service(service: Service) -> Iterator[Finding]:
    if service.cold_per_s and not service.warm_up_ms:
        yield Finding(
            FindingKind.CONTRADICTION,
            'service {0}'.format(service.service),
            'a rate for cold servers, which are never cold',
        )


def _check_limits(limits: CallerLimits) -> Iterator[Finding]:
    for limit in fields(limits):
        amount = getattr(limits, limit.name)
        if amount <= 0:
            yield Finding(
                FindingKind.CONTRADICTION,
                'limits',
                '{0} of {1:g} refuses every request'.format(limit.name, amount),
            )
