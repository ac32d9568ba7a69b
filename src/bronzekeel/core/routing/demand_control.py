"""Say for which services requests are placed by learned capacity and shared among callers.

Learning, waiting and sharing spend a part of the time in which an answer is wanted.  A service
whose callers want theirs sooner than that is served without them.
"""

from enum import StrEnum

from bronzekeel.core.routing.model import RoutingText


#: Least latency objective in seconds of a service whose demand is controlled, if the setting
#: leaves that to the text.  Source: a packet that is lost is repeated after 0.2 s; a request that
#: waits for as long as that, is lost once and takes a tenth of a second must be in time.
LEAST_OBJECTIVE_S = 0.5


class DemandControlMode(StrEnum):
    """Name the values of the setting `demand_control`."""

    BY_OBJECTIVE = 'by_objective'
    ALWAYS = 'always'
    NEVER = 'never'


class DemandControl:
    """Decide by the operators' setting and the routes of their text."""

    __slots__ = ('_mode',)

    def __init__(self, mode: DemandControlMode = DemandControlMode.BY_OBJECTIVE) -> None:
        """Decide as `mode` says."""
        self._mode = mode

    def covers(self, service: str, text: RoutingText | None) -> bool:
        """Whether the demand on a service is controlled while `text` is in force."""
        if self._mode is DemandControlMode.BY_OBJECTIVE:
            objectives = {} if text is None else text.objective_by_service
            return objectives.get(service, 0) >= LEAST_OBJECTIVE_S
        return self._mode is DemandControlMode.ALWAYS
