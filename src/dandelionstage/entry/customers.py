"""Authenticates customers and finds the workloads of their contracts."""

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

_BEARER_PREFIX: Final = 'bearer '


@final
class CustomerKeys:
    """Index of contracts by key digest, rebuilt when the topology changes."""

    def __init__(self) -> None:
        """Create an empty index."""
        self._contracts: Mapping[str, Contract] = {}
        self._topology: Topology | None = None

    def authenticate(
        self,
        topology: Topology,
        authorization: str,
    ) -> Result[Contract, Verdict]:
        """Find the contract that lists the digest of the bearer key.

        Only digests are compared, so timing reveals nothing about a key.

        :param authorization: value of the ``Authorization`` header.
        """
        if topology is not self._topology:
            self._contracts = _index_by_digest(topology)
            self._topology = topology
        if not authorization.lower().startswith(_BEARER_PREFIX):
            return _unauthorized('a bearer key is required')
        key = authorization[len(_BEARER_PREFIX) :].strip()
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
    """Find a workload of the given kind that the contract allows."""
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


def _index_by_digest(topology: Topology) -> Mapping[str, Contract]:
    return {
        digest: contract
        for contract in topology.contracts.values()
        for digest in contract.key_digests
    }
