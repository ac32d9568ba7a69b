"""Number the events that a balancer logs; docs/EVENTS.md is their catalogue."""

from enum import IntEnum


class LogNumber(IntEnum):
    """Name each numbered log event."""

    STARTED = 1001
    READY = 1002
    STOPPING = 1003
    STOPPED = 1004
    WAITING_FOR_TEXT = 1005
    PAUSED = 1006
    TEXT_IN_FORCE = 2001
    TEXT_OLDER = 2002
    TEXT_BAD = 2003
    PLATFORM_LOST = 2101
    PLATFORM_BACK = 2102
    MEMBER_JOINED = 3001
    MEMBER_DEAD = 3002
    SHARD_CLAIMED = 4001
    SHARD_TAKEN_OVER = 4002
    SHARD_GIVEN = 4003
    SHARD_LOST = 4004
    BUCKETS_MOVING = 4101
    BUCKETS_UNSETTLED = 4102
    UPSTREAM_DOWN = 5101
    UPSTREAM_UP = 5102
    PEER_UNREACHED = 6002
    INTERNAL_FAULT = 9001
