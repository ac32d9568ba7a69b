"""Decide whether requests are placed by learned capacity and shared among callers.

Learning, waiting and sharing take a part of the time in which a caller wants its answer. If some
callers of a text want theirs sooner than that, the whole text is served without them: its services
share hosts, and a route may lead to several of them.
"""

from enum import StrEnum

from bronzekeel.core.routing.model import RoutingText


#: Least latency objective in seconds that all routes of a text must have for its demand to be
#: controlled, if the setting is `by_objective`. A lost packet is repeated after 0.2 s; a request
#: that waits for that long, is lost once and takes a tenth of a second must be in time.
MIN_OBJECTIVE_S = 0.5


class DemandControlMode(StrEnum):
    """Values of the setting `demand_control`."""

    BY_OBJECTIVE = 'by_objective'
    ALWAYS = 'always'
    NEVER = 'never'


class DemandControl:
    """Decide by the operators' setting and the routes of the text."""

    __slots__ = ('_mode',)

    def __init__(self, mode: DemandControlMode = DemandControlMode.BY_OBJECTIVE) -> None:
        """Decide according to `mode`."""
        self._mode = mode

    def covers(self, text: RoutingText | None) -> bool:
        """Whether demand is controlled while `text` is in force."""
        if self._mode is DemandControlMode.BY_OBJECTIVE:
            return text is not None and text.min_objective_s >= MIN_OBJECTIVE_S
        return self._mode is DemandControlMode.ALWAYS
