"""A caller's request from its bytes to an admitted one, or a refusal."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar, final

from returns.result import Failure, Result, Success
from starlette.requests import ClientDisconnect, Request

from ..configuration.topology import Topology
from ..model.contract import Contract
from ..model.ids import RequestId
from ..model.topology import Workload, WorkloadKind
from ..model.verdict import Reason, Verdict, not_run
from .bodies import CallerBody, read_body
from .customers import CustomerKeys, find_workload

__all__ = ('Arrival', 'RequestReader')

_REQUEST_ID_BYTES: Final = 8
_RETRY_ELSEWHERE_MS: Final = 100

_AnyBody = TypeVar('_AnyBody', bound=CallerBody)


@final
@dataclass(frozen=True, slots=True)
class Arrival(Generic[_AnyBody]):
    """A request of a known customer for a workload it may use.

    :ivar arrived_ms: on the monotonic clock, when its first byte was read.
    """

    request: RequestId
    contract: Contract
    workload: Workload
    body: _AnyBody
    arrived_ms: float


@final
@dataclass(frozen=True, slots=True)
class RequestReader:
    """Checks every request alike before anything is done for it.

    :ivar accepting: false once a planned stop takes no new requests.
    :ivar max_body_bytes: a larger body is refused unread.
    """

    topology: Callable[[], Topology]
    accepting: Callable[[], bool]
    clock: Callable[[], float]
    keys: CustomerKeys
    max_body_bytes: int

    async def admit(
        self,
        request: Request,
        kind: WorkloadKind,
        body_type: type[_AnyBody],
    ) -> Result[Arrival[_AnyBody], Verdict]:
        """Read and check one request."""
        arrived_ms = self.clock()
        if not self.accepting():
            return Failure(
                not_run(
                    Reason.STOPPING,
                    'this VM takes no new requests',
                    _RETRY_ELSEWHERE_MS,
                ),
            )
        payload = await self._read_payload(request)
        return payload.bind(
            lambda body: self._check(
                request.headers.get('authorization', ''),
                read_body(body_type, body),
                kind,
                arrived_ms,
            ),
        )

    def _check(
        self,
        authorization: str,
        body: Result[_AnyBody, Verdict],
        kind: WorkloadKind,
        arrived_ms: float,
    ) -> Result[Arrival[_AnyBody], Verdict]:
        topology = self.topology()
        if not topology.contracts:
            return Failure(not_run(Reason.NO_CONFIGURATION))
        credentials = self.keys.authenticate(topology, authorization)
        if isinstance(credentials, Failure):
            return credentials
        if isinstance(body, Failure):
            return body
        found = body.unwrap()
        contract = credentials.unwrap()
        return find_workload(topology, contract, found.workload, kind).map(
            lambda workload: Arrival(
                request=RequestId(found.request_id or _new_id()),
                contract=contract,
                workload=workload,
                body=found,
                arrived_ms=arrived_ms,
            ),
        )

    async def _read_payload(self, request: Request) -> Result[bytes, Verdict]:
        payload = bytearray()
        try:
            async for chunk in request.stream():
                payload += chunk
                if len(payload) > self.max_body_bytes:
                    return Failure(_too_large(self.max_body_bytes))
        except ClientDisconnect:
            return Failure(not_run(Reason.BAD_REQUEST, 'the body was cut'))
        return Success(bytes(payload))


def _too_large(limit: int) -> Verdict:
    detail = 'a body has at most {0} bytes'.format(limit)
    return not_run(Reason.BODY_TOO_LARGE, detail)


def _new_id() -> str:
    return secrets.token_hex(_REQUEST_ID_BYTES)
