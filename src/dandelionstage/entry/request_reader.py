"""Reads, authenticates and validates the requests of callers."""

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

__all__ = ('CallerRequest', 'RequestReader')

_REQUEST_ID_BYTES: Final = 8
#: Delay after which a caller refused during a stop may try another VM.
_STOPPING_RETRY_AFTER_MS: Final = 100

_AnyBody = TypeVar('_AnyBody', bound=CallerBody)


@final
@dataclass(frozen=True, slots=True)
class CallerRequest(Generic[_AnyBody]):
    """Valid request of a customer for a workload that its contract allows.

    :ivar request: id of the request, generated if the caller sent none.
    :ivar contract: the contract of the customer.
    :ivar workload: the requested workload.
    :ivar body: the validated body.
    :ivar arrived_ms: when handling began, before the body was read, in
        milliseconds on the monotonic clock.
    """

    request: RequestId
    contract: Contract
    workload: Workload
    body: _AnyBody
    arrived_ms: float


@final
@dataclass(frozen=True, slots=True)
class RequestReader:
    """Reads requests and checks them before they are executed.

    :ivar topology: returns the current topology.
    :ivar accepting: returns whether new requests are accepted; false once a
        planned stop drains the requests in flight.
    :ivar clock: returns the monotonic time in milliseconds.
    :ivar keys: authenticates customers.
    :ivar max_body_bytes: maximum size of a body; the rest of a larger one is
        not read.
    """

    topology: Callable[[], Topology]
    accepting: Callable[[], bool]
    clock: Callable[[], float]
    keys: CustomerKeys
    max_body_bytes: int

    async def read(
        self,
        request: Request,
        kind: WorkloadKind,
        body_type: type[_AnyBody],
    ) -> Result[CallerRequest[_AnyBody], Verdict]:
        """Read and check one request.

        :param kind: the kind of workload that the request needs.
        :param body_type: the type to validate the body against.
        :returns: the request, or the refusal.
        """
        arrived_ms = self.clock()
        if not self.accepting():
            return Failure(
                not_run(
                    Reason.STOPPING,
                    'this VM takes no new requests',
                    _STOPPING_RETRY_AFTER_MS,
                ),
            )
        read_result = await self._read_payload(request)
        return read_result.bind(
            lambda payload: self._check(
                request.headers.get('authorization', ''),
                read_body(body_type, payload),
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
    ) -> Result[CallerRequest[_AnyBody], Verdict]:
        topology = self.topology()
        if not topology.contracts:
            return Failure(not_run(Reason.NO_CONFIGURATION))
        authenticated = self.keys.authenticate(topology, authorization)
        if isinstance(authenticated, Failure):
            return authenticated
        if isinstance(body, Failure):
            return body
        parsed = body.unwrap()
        contract = authenticated.unwrap()
        return find_workload(topology, contract, parsed.workload, kind).map(
            lambda workload: CallerRequest(
                request=RequestId(parsed.request_id or _new_request_id()),
                contract=contract,
                workload=workload,
                body=parsed,
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


def _new_request_id() -> str:
    return secrets.token_hex(_REQUEST_ID_BYTES)
