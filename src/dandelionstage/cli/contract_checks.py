"""What a contract says that cannot hold together with the workloads."""

from collections import Counter
from collections.abc import Iterable, Iterator

from ..model.contract import Contract
from ..model.documents import DocumentFault
from ..model.ids import DocumentKey
from ..model.topology import Workload

__all__ = ('contradictions',)


def contradictions(
    contract: Contract,
    workloads: Iterable[Workload],
) -> tuple[DocumentFault, ...]:
    """List what no fleet could keep.

    :param workloads: those published; none to check the contract alone.
    """
    key = DocumentKey('contract/{0}'.format(contract.customer))
    known = {workload.workload: workload for workload in workloads}
    problems = list(_repeated(contract))
    for name in contract.workloads if known else ():
        workload = known.get(name)
        if workload is None:
            problems.append(('workloads', '{0} is not published'.format(name)))
        else:
            problems.extend(_too_little_work(contract, workload))
    return tuple(DocumentFault(key, *problem) for problem in problems)


def _repeated(contract: Contract) -> Iterator[tuple[str, str]]:
    for name, times in Counter(contract.workloads).items():
        if times > 1:
            yield 'workloads', '{0} is named {1} times'.format(name, times)


def _too_little_work(
    contract: Contract,
    workload: Workload,
) -> Iterator[tuple[str, str]]:
    shards = len(workload.snapshots[0].shards)
    if contract.work_per_s < shards:
        yield (
            'work_per_s',
            'one query on {0} asks {1} shards, {2:g} are allowed'.format(
                workload.workload,
                shards,
                contract.work_per_s,
            ),
        )
