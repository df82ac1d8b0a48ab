"""Header names, paths and ports defined by the hosting platform."""

from typing import Final

from ..gateway.reply_reader import HeaderNames

__all__ = (
    'ERA_HEADER',
    'HEADERS',
    'METRICS_PORT',
    'METRICS_TARGET',
    'RANGE_PATH',
    'READY_TARGET',
    'WATCH_PATH',
)

HEADERS: Final = HeaderNames(
    request_id=b'x-request-id',
    time_left=b'x-request-deadline',
    stamp=b'x-response-stamp',
    target=b'x-target-instance',
    not_run=b'x-not-executed',
    parts=b'x-part-stamps',
    missing=b'x-missing-parts',
    limit=b'server-limit',
    leaving=b'server-leaving',
)
READY_TARGET: Final = b'/api/ready'
#: Number of the store's history, in all replies of the store.
ERA_HEADER: Final = b'store-era'
#: Paths of the store: items by key, and changes after a revision.
RANGE_PATH: Final = '/api/kv-range'
WATCH_PATH: Final = '/api/kv-watch'
#: The same port and path as in deploy/system.toml.
METRICS_PORT: Final = 9464
METRICS_TARGET: Final = b'/metrics'
