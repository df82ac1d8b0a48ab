"""The status and readiness that a daemon shows to operators."""

from collections.abc import Callable

from ..operations.admin import AdminSources, Readiness
from ..operations.show import (
    customer_statuses,
    nonzero_retries,
    promises,
)
from ..operations.status import Status
from .node import Node

__all__ = ('admin_sources',)


def admin_sources(
    node: Node,
    state: Callable[[], str],
    readiness: Callable[[], Readiness],
) -> AdminSources:
    """Say where the operator's interface finds its answers.

    :param state: serving, or how far a planned stop has come.
    """
    return AdminSources(
        readiness=readiness,
        metrics=node.metrics.render,
        prepare=node.metrics.customers.prepare,
        status=lambda: _show(node, state(), readiness()),
    )


def _show(node: Node, state: str, readiness: Readiness) -> Status:
    topology = node.facts.topology()
    members = node.facts.members
    return Status(
        vm=node.greeting.vm,
        data_centre=node.greeting.data_centre,
        incarnation=node.greeting.incarnation,
        state=state,
        ready=readiness.ready,
        detail=readiness.detail,
        live_vms={
            data_centre: members.live(data_centre)
            for data_centre in topology.vm_lists
        },
        documents=dict(node.facts.store.held()),
        promises=promises(topology.contracts),
        customers=customer_statuses(node.metrics),
        retries=nonzero_retries(node.metrics),
    )
