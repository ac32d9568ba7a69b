"""Hold the whole state of one balancer, domain by domain."""

from dataclasses import dataclass, field

from bronzekeel.core.health.state import Health
from bronzekeel.core.membership.state import Membership
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.requests.state import Requests
from bronzekeel.core.rollout.state import Rollout
from bronzekeel.core.steering.state import Steering

#: Time a fresh balancer may take before it says that it waits.
FIRST_PROBLEM_LOG_S = 5.0


@dataclass(slots=True)
class BalancerState:
    """Hold the domains; each is written by its own reducer alone."""

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
        """Return the state of a balancer that has just started."""
        members = Membership(me, incarnation)
        return cls(
            members, Steering(me.name), started_at=now, problem_log_at=now + FIRST_PROBLEM_LOG_S
        )
