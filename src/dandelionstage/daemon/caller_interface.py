"""Builds the caller's interface over the parts of a daemon."""

from collections.abc import Callable

from starlette.applications import Starlette

from ..entry.app import CallerApi, caller_app
from ..entry.arrivals import Gatekeeper
from ..entry.customers import CustomerKeys
from ..entry.query_service import QueryService
from ..query.tools import QueryTools
from ..settings.model import Settings
from .call_ids import call_ids
from .clock import monotonic_ms, wall_s
from .node import Node

__all__ = ('build_caller_app',)


def build_caller_app(
    node: Node,
    settings: Settings,
    accepting: Callable[[], bool],
) -> Starlette:
    """Build the ASGI application for the caller port.

    :param accepting: false once a planned stop takes no new requests.
    """
    gatekeeper = Gatekeeper(
        topology=node.facts.topology,
        accepting=accepting,
        clock=monotonic_ms,
        keys=CustomerKeys(),
        max_body_bytes=settings.bounds.max_body_bytes,
    )
    api = CallerApi(
        gatekeeper,
        _build_queries(node),
        node.metrics,
        wall_s,
    )
    return caller_app(api)


def _build_queries(node: Node) -> QueryService:
    tools = QueryTools(
        route=node.facts.router.targets,
        workload_of=node.facts.workload,
        new_call=call_ids(node.greeting.vm, node.greeting.incarnation),
        random=node.random,
    )
    return QueryService(
        runner=node.runner,
        tools=tools,
        admit=lambda contract, cost, now_ms: None,
        release=lambda contract: None,
        metrics=node.metrics,
        clock=monotonic_ms,
    )
