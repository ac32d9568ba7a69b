"""Hold the state of demand control: callers, learned capacities and moving load."""

from bronzekeel.core.routing.caller_watch import CallerWatch
from bronzekeel.core.routing.capacities import Capacities
from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.moving_load import MovingLoad


class Demand:
    """Hold the parts that control demand; `control` decides whether they are active."""

    __slots__ = ('callers', 'capacities', 'control', 'moving')

    def __init__(self, control: DemandControl) -> None:
        """Control demand while `control` covers the text in force."""
        self.control = control
        self.callers = CallerWatch()
        self.capacities = Capacities()
        self.moving = MovingLoad()
