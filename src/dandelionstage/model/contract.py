"""The contract: what one customer is promised and may ask for."""

from enum import Enum, unique
from typing import Annotated, Final, Self, final

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .ids import CustomerId, WorkloadId

__all__ = ('Contract', 'Priority')

#: Longest time a contract may state.
_MAX_TIME_MS: Final = 600_000
_MAX_WORK_PER_S: Final = 1e9
_MAX_NAME_LENGTH: Final = 64
_DEFAULT_EXTRA_LOAD: Final = 0.05

_KeyDigest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


@unique
class Priority(Enum):
    """Order of service under overload, most urgent first."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'


@final
class Contract(BaseModel):
    """One customer's contract; every limit is derived from it.

    :ivar customer: whose contract it is.
    :ivar workloads: the workloads the customer may use.
    :ivar p99_ms: 99 of 100 whole answers come within this time.
    :ivar deadline_ms: no answer is worth anything after this time.
    :ivar minimum_coverage: share of shards below which a query is refused.
    :ivar work_per_s: sub-requests per second over the whole fleet.
    :ivar priority: order of service under overload.
    :ivar extra_load_fraction: hedges and retries per primary sub-request.
    :ivar key_digests: SHA-256 of each key the customer may present, in hex.
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
        """Refuse a deadline that cuts off answers the contract counts on."""
        if self.deadline_ms < self.p99_ms:
            raise ValueError(
                'deadline_ms ({0}) must be at least p99_ms ({1})'.format(
                    self.deadline_ms,
                    self.p99_ms,
                ),
            )
        return self
