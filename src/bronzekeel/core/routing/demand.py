"""Hold what is learned and decided where the demand on services is controlled."""

from bronzekeel.core.routing.demand_control import DemandControl
from bronzekeel.core.routing.moving_load import MovingLoad


class Demand:
    """Hold the parts that control demand; `control` says for which services they act."""

    __slots__ = ('control', 'moving')

    def __init__(self, control: DemandControl) -> None:
        """Act for the services that `control` names."""
        self.control = control
        self.moving = MovingLoad()
