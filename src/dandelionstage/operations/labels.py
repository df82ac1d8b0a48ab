"""The names under which measurements are kept."""

from collections.abc import Callable
from enum import Enum, unique

from ..model.ids import CustomerId

__all__ = ('Event', 'Hop', 'Observe', 'ignore')


@unique
class Hop(Enum):
    """A stretch of a request's way whose latency is measured."""

    #: A whole query, from its arrival at the entry to its answer.
    QUERY = 'query'
    #: A whole action, from its arrival at the entry to its outcome.
    ACTION = 'action'
    #: One attempt, from the entry to an owner and back.
    SUB_REQUEST = 'sub_request'
    #: Time in the owner's queue.
    QUEUE = 'queue'
    #: One attempt, from the owner to a backend server and back.
    BACKEND = 'backend'


@unique
class Event(Enum):
    """Something an operator may want to know of, counted since the start."""

    #: A reply to a call that is unknown, over or already answered.
    LATE_REPLY = 'late_reply'
    DOCUMENT_ACCEPTED = 'document_accepted'
    #: A published document that was refused; the last good one stays.
    DOCUMENT_INVALID = 'document_invalid'
    #: A document older than the one in force, refused.
    DOCUMENT_STALE = 'document_stale'
    #: A read of the configuration service.
    CONFIG_READ = 'config_read'
    CONFIG_READ_FAILED = 'config_read_failed'
    #: A silent connection between daemons that was given up.
    CONNECTION_REPLACED = 'connection_replaced'
    #: A connection that a frame which could not be decoded has ended.
    BAD_FRAME = 'bad_frame'
    TICKET_MINTED = 'ticket_minted'


#: Takes how long a request of a customer took on a hop, in milliseconds.
Observe = Callable[[Hop, CustomerId, float], None]


def ignore(hop: Hop, customer: CustomerId, elapsed_ms: float) -> None:
    """Take a latency that nobody asks for."""
