"""Contracts: promises to a customer and limits on its requests."""

from enum import Enum, unique
from typing import Annotated, Final, Self, final

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .ids import CustomerId, WorkloadId

__all__ = ('Contract', 'Priority')

#: Upper bound of the times in a contract.
_MAX_TIME_MS: Final = 600_000
#: Upper bound of the sub-requests per second over the whole fleet.
_MAX_WORK_PER_S: Final = 1e9
#: Upper bound of the length of a customer id, in characters.
_MAX_NAME_LENGTH: Final = 64
#: Default number of hedges and retries for each primary sub-request.
_DEFAULT_EXTRA_LOAD: Final = 0.05

_KeyDigest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


@unique
class Priority(Enum):
    """Priority under overload, the most urgent first."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'


@final
class Contract(BaseModel):
    """Contract of one customer, from which all its limits are derived.

    :ivar customer: id of the customer.
    :ivar workloads: workloads that the customer may use.
    :ivar p99_ms: time within which 99 of 100 complete answers arrive.
    :ivar deadline_ms: time after which an answer is of no use.
    :ivar minimum_coverage: share of shards, 0 to 1, below which a query is
        refused.
    :ivar work_per_s: sub-requests per second over the whole fleet.
    :ivar priority: priority under overload.
    :ivar extra_load_fraction: hedges and retries allowed for each primary
        sub-request (the first one to each shard), 0 to 1.
    :ivar key_digests: SHA-256 digest, in hex, of each API key of the
        customer.
    """

    model_config = ConfigDict(frozen=True, extra='forbid')

    customer: CustomerId = Field(min_length=1, max_length=_MAX_NAME_LENGTH)
    workloads: tuple[WorkloadId, ...] = Field(min_length=1)
    p99_ms: int = Field(gt=0, le=_MAX_TIME_MS)
    deadline_ms: int = Field(gt=0, le=_MAX_TIME_MS)
    minimum_coverage: float = Field(ge=0, le=1)
    work_per_s: float = Field(gt=0, le=_MAX_WORK_PER_S)
    priority: Priority
    extra_load_fraction: float = Field(default=_DEFAULT_EXTRA_LOAD, ge=0, le=1)
    key_digests: tuple[_KeyDigest, ...] = Field(min_length=1)

    @model_validator(mode='after')
    def check_times(self) -> Self:
        """Reject a deadline shorter than the promised answer time."""
        if self.deadline_ms < self.p99_ms:
            raise ValueError(
                'deadline_ms ({0}) must be at least p99_ms ({1})'.format(
                    self.deadline_ms,
                    self.p99_ms,
                ),
            )
        return self
