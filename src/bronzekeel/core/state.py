"""Hold the state of one balancer, divided into domains."""

from dataclasses import dataclass, field

from bronzekeel.core.health.state import Health
from bronzekeel.core.membership.state import Membership
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.requests.state import Requests
from bronzekeel.core.rollout.state import Rollout
from bronzekeel.core.steering.state import Steering

#: Seconds after the start before problems such as a missing text are logged.
FIRST_PROBLEM_LOG_S = 5.0


@dataclass(slots=True)
class BalancerState:
    """State of all domains; only the reducer of a domain changes its state."""

    members: Membership
    steering: Steering
    rollout: Rollout = field(default_factory=Rollout)
    requests: Requests = field(default_factory=Requests)
    health: Health = field(default_factory=Health)
    started_at: float = 0
    problem_log_at: float = 0
    ready: bool = False
    stopping: bool = False
    stopped: bool = False

    @classmethod
    def fresh(cls, me: HostEntry, incarnation: int, now: float) -> 'BalancerState':
        """Return the initial state of a balancer that started at `now`."""
        members = Membership(me, incarnation)
        return cls(
            members, Steering(me.name), started_at=now, problem_log_at=now + FIRST_PROBLEM_LOG_S
        )
