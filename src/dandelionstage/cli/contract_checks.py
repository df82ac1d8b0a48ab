"""What documents say that cannot hold together."""

from collections import Counter
from collections.abc import Iterator

from ..configuration.topology import Topology
from ..model.contract import Contract
from ..model.documents import DocumentFault
from ..model.ids import DocumentKey
from ..model.topology import Workload

__all__ = ('contradictions',)

_Problems = Iterator[tuple[str, str]]


def contradictions(topology: Topology) -> Iterator[DocumentFault]:
    """List what no fleet could keep or find.

    What is not among the documents at all, such as every workload, is not
    checked against.
    """
    for contract in topology.contracts.values():
        key = DocumentKey('contract/{0}'.format(contract.customer))
        for path, problem in _check_contract(contract, topology):
            yield DocumentFault(key, path, problem)
    for workload in topology.workloads.values():
        key = DocumentKey('workload/{0}'.format(workload.workload))
        for path, problem in _check_workload(workload, topology):
            yield DocumentFault(key, path, problem)


def _check_contract(contract: Contract, topology: Topology) -> _Problems:
    for name, times in Counter(contract.workloads).items():
        if times > 1:
            yield 'workloads', '{0} is named {1} times'.format(name, times)
        workload = topology.workloads.get(name)
        if workload is not None:
            yield from _check_work(contract, workload)
        elif topology.workloads:
            yield 'workloads', '{0} is not published'.format(name)


def _check_work(contract: Contract, workload: Workload) -> _Problems:
    shards = len(workload.snapshots[0].shards)
    if contract.work_per_s < shards:
        problem = 'one query on {0} asks {1} shards, {2:g} are allowed'
        yield (
            'work_per_s',
            problem.format(workload.workload, shards, contract.work_per_s),
        )


def _check_workload(workload: Workload, topology: Topology) -> _Problems:
    listed = topology.backends.keys()
    for shard, replicas in workload.snapshots[0].shards.items():
        if listed and listed.isdisjoint(replicas):
            path = 'snapshots.0.shards.{0}'.format(shard)
            yield path, 'none of its servers is in a backend list'
