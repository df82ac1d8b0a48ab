"""The rows and columns of the fault matrix."""

from enum import Enum, unique

__all__ = ('Fault', 'Step')


@unique
class Step(Enum):
    """A step of a request, of configuration or of a stop."""

    ADMIT = 'admit'
    PIN = 'pin'
    SCATTER = 'scatter'
    INNER_SEND = 'inner send'
    OWNER_QUEUE = 'owner queue'
    CONNECT = 'connect'
    BACKEND_SEND = 'backend send'
    BACKEND_RUN = 'backend run'
    REPLY = 'reply'
    GATHER = 'gather'
    ANSWER = 'answer'
    MINT = 'mint'
    FORWARD = 'forward'
    START = 'start'
    RECORD = 'record'
    READ = 'read'
    ACCEPT = 'accept'
    SPREAD = 'spread'
    NOTICE_LEAVING = 'notice leaving'
    STOP = 'stop'


@unique
class Fault(Enum):
    """What goes wrong at a step."""

    KILL = 'kill'
    FREEZE_AND_WAKE = 'freeze and wake'
    CUT = 'cut'
    SILENCE = 'silence'
    SLOW = 'slow'
    LOST_REPLY = 'lost reply'
    DUPLICATE = 'duplicate'
    REORDER = 'reorder'
    SHED = 'shed'
    DRAIN = 'drain'
    SNAPSHOT_SWITCH = 'snapshot switch'
    REPARTITION = 'repartition'
    SERVICE_DOWN = 'service down'
    SERVICE_STALE = 'service stale'
    VIEW_DISAGREEMENT = 'view disagreement'
