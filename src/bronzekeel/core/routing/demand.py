"""Hold what is learned and decided where the demand on services is controlled."""

from bronzekeel.core.routing.caller_watch import CallerWatch
from bronzekeel.core.routing.capacities import Capacities
from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.moving_load import MovingLoad


class Demand:
    """Hold the parts that control demand; `control` says whether they act."""

    __slots__ = ('callers', 'capacities', 'control', 'moving')

    def __init__(self, control: DemandControl) -> None:
        """Act while `control` says so."""
        self.control = control
        self.callers = CallerWatch()
        self.capacities = Capacities()
        self.moving = MovingLoad()
