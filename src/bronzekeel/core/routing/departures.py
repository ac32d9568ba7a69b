"""Count the flows that are sent to other data centres, and tell when that begins and ends."""

from enum import StrEnum

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine


#: Seconds without such a flow after which sending elsewhere has ended.  Source: crowds last three
#: seconds and more; with less, one crowd is told as several.
SENDING_ENDED_S = 3.0


class Departure(StrEnum):
    """Say why a flow goes to another data centre."""

    NO_FREE_CAPACITY = 'no_room'
    ELSE_REFUSED = 'else_refused'
    SURGE = 'crowd'
    NO_UPSTREAM = 'no_upstream'


class _Sending:
    __slots__ = ('flows', 'sent_at')

    def __init__(self) -> None:
        self.flows = 0
        self.sent_at: float = 0


class Departures:
    """Hold the number of flows by reason, and the services whose flows are sent elsewhere now."""

    __slots__ = ('_begun', '_sending_by_service', 'flows_by_reason')

    def __init__(self) -> None:
        """Start with none."""
        self.flows_by_reason: dict[str, int] = dict.fromkeys(Departure, 0)
        self._sending_by_service: dict[str, _Sending] = {}
        self._begun: dict[str, Departure] = {}

    def note(self, service: str, reason: Departure, now: float) -> None:
        """Note that a flow goes to another data centre."""
        self.flows_by_reason[reason] += 1
        sending = self._sending_by_service.get(service)
        if sending is None:
            sending = _Sending()
            self._sending_by_service[service] = sending
            self._begun[service] = reason
        sending.flows += 1
        sending.sent_at = now

    def poll(self, now: float) -> list[Effect]:
        """Return the lines on services that began and ceased to send flows elsewhere."""
        effects: list[Effect] = [
            WriteLine(LogNumber.SENDING_ELSEWHERE, service=service, by=reason.value)
            for service, reason in self._begun.items()
        ]
        self._begun.clear()
        for service, sending in list(self._sending_by_service.items()):
            if now < sending.sent_at + SENDING_ENDED_S:
                continue
            self._sending_by_service.pop(service)
            ended = LogNumber.SENDING_ELSEWHERE_ENDED
            effects.append(WriteLine(ended, service=service, flows=sending.flows))
        return effects
