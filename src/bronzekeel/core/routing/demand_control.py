"""Say whether requests are placed by learned capacity and shared among callers.

Learning, waiting and sharing spend a part of the time in which an answer is wanted.  A text with
callers who want theirs sooner than that is served without them: its services share hosts, and
a route may lead to several of them.
"""

from enum import StrEnum

from bronzekeel.core.routing.model import RoutingText


#: Least latency objective in seconds of all routes of a text whose demand is controlled, if the
#: setting leaves that to the text.  Source: a packet that is lost is repeated after 0.2 s; a
#: request that waits for as long as that, is lost once and takes a tenth of a second must be
#: in time.
MIN_OBJECTIVE_S = 0.5


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

    def covers(self, text: RoutingText | None) -> bool:
        """Whether demand is controlled while `text` is in force."""
        if self._mode is DemandControlMode.BY_OBJECTIVE:
            return text is not None and text.least_objective_s >= MIN_OBJECTIVE_S
        return self._mode is DemandControlMode.ALWAYS
