"""Which customer a key belongs to, and what its contract allows."""

import hashlib
from collections.abc import Mapping
from typing import Final, final

from returns.result import Failure, Result, Success

from ..configuration.topology import Topology
from ..model.contract import Contract
from ..model.ids import WorkloadId
from ..model.topology import Workload, WorkloadKind
from ..model.verdict import Reason, Verdict, not_run

__all__ = ('CustomerKeys', 'find_workload')

_SCHEME: Final = 'bearer '


@final
class CustomerKeys:
    """Finds contracts by key digest; rebuilt only when documents change."""

    def __init__(self) -> None:
        """Know no key yet."""
        self._contracts: Mapping[str, Contract] = {}
        self._topology: Topology | None = None

    def authenticate(
        self,
        topology: Topology,
        authorization: str,
    ) -> Result[Contract, Verdict]:
        """Find the contract that lists the digest of the bearer's key.

        Only digests are compared, so the time taken tells nothing of a key.
        """
        if topology is not self._topology:
            self._contracts = _index(topology)
            self._topology = topology
        if not authorization.lower().startswith(_SCHEME):
            return _unauthorized('a bearer key is required')
        key = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        contract = self._contracts.get(digest)
        if contract is None:
            return _unauthorized('no contract lists this key')
        return Success(contract)


def find_workload(
    topology: Topology,
    contract: Contract,
    name: WorkloadId,
    kind: WorkloadKind,
) -> Result[Workload, Verdict]:
    """Find a workload of this kind that the contract allows."""
    if name not in contract.workloads:
        return Failure(
            not_run(
                Reason.WORKLOAD_NOT_ALLOWED,
                'the contract does not list this workload',
            ),
        )
    workload = topology.workloads.get(name)
    if workload is None or workload.kind is not kind:
        return Failure(
            not_run(
                Reason.UNKNOWN_WORKLOAD,
                'no workload of kind {0} has this name'.format(kind.value),
            ),
        )
    return Success(workload)


def _unauthorized(detail: str) -> Result[Contract, Verdict]:
    return Failure(not_run(Reason.UNAUTHORIZED, detail))


def _index(topology: Topology) -> Mapping[str, Contract]:
    return {
        digest: contract
        for contract in topology.contracts.values()
        for digest in contract.key_digests
    }
