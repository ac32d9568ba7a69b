"""Count the flows sent to remote data centres, and log when that begins and ends."""

from enum import StrEnum

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.effects import Effect, WriteLine


#: Seconds without a flow to a remote data centre after which sending has ended.  Surges last three
#: seconds or more; with a shorter time, one surge would be logged as several.
SENDING_ENDED_S = 3.0


class RemoteFlowReason(StrEnum):
    """Name why a flow goes to a remote data centre."""

    NO_FREE_CAPACITY = 'no_room'
    ELSE_REFUSED = 'else_refused'
    SURGE = 'crowd'
    NO_UPSTREAM = 'no_upstream'


class _OngoingFlows:
    __slots__ = ('flows', 'last_sent_at')

    def __init__(self) -> None:
        self.flows = 0
        self.last_sent_at: float = 0


class RemoteFlows:
    """Count flows to remote data centres by reason, and track which services send some now."""

    __slots__ = ('_sending_by_service', '_started_by_service', 'flows_by_reason')

    def __init__(self) -> None:
        """Start with none."""
        self.flows_by_reason: dict[str, int] = dict.fromkeys(RemoteFlowReason, 0)
        self._sending_by_service: dict[str, _OngoingFlows] = {}
        self._started_by_service: dict[str, RemoteFlowReason] = {}

    def note(self, service: str, reason: RemoteFlowReason, now: float) -> None:
        """Record that a flow of `service` goes to a remote data centre."""
        self.flows_by_reason[reason] += 1
        sending = self._sending_by_service.get(service)
        if sending is None:
            sending = _OngoingFlows()
            self._sending_by_service[service] = sending
            self._started_by_service[service] = reason
        sending.flows += 1
        sending.last_sent_at = now

    def poll(self, now: float) -> list[Effect]:
        """Return log lines for services that began or stopped sending flows to remote centres."""
        effects: list[Effect] = [
            WriteLine(LogNumber.SENDING_ELSEWHERE, service=service, by=reason.value)
            for service, reason in self._started_by_service.items()
        ]
        self._started_by_service.clear()
        for service, sending in list(self._sending_by_service.items()):
            if now < sending.last_sent_at + SENDING_ENDED_S:
                continue
            self._sending_by_service.pop(service)
            ended = LogNumber.SENDING_ELSEWHERE_ENDED
            effects.append(WriteLine(ended, service=service, flows=sending.flows))
        return effects
