"""Test where a flow goes whose service has no room while another of its route has some."""

from unittest import TestCase

from bronzekeel.core.routing.admission import RequestsPerSlot
from bronzekeel.core.routing.connection_ids import seal_of
from bronzekeel.core.routing.events import PageRead
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.model import Route, ServiceShare
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.core.routing.verdicts import Deliver
from tests.routing_cases import (
    INTAKE,
    PORTAL,
    PORTAL_KEY,
    delivered_to,
    entry,
    opening,
    page,
    ready_state,
    steering,
    text,
)


_OBJECTIVE_S = 0.6
_FLOWS = 40


def _text_page(objective_s: float, intake_weight: int) -> PageRead:
    """Return a text whose one route leads to the portal, and to the intake by a weight."""
    shares = (ServiceShare(PORTAL, 1000), ServiceShare(INTAKE, intake_weight))
    route = Route(PORTAL_KEY, shares, seal_of(PORTAL_KEY), objective_s=objective_s)
    return page(Collection.TEXT, text(2, route))


def _services_of(state: RoutingState) -> list[str]:
    """Open many flows at once; return the services that got them, `Wait` for the others."""
    chosen = steering(state)
    services = []
    for number in range(_FLOWS):
        verdict = chosen.decide(opening(number), 0)
        placed = isinstance(verdict, Deliver)
        services.append(verdict.upstream.entry.service if placed else delivered_to(verdict))
    return services


def _state(objective_s: float = _OBJECTIVE_S, intake_weight: int = 1) -> RoutingState:
    entries = (entry(1), entry(2, service=INTAKE), entry(3, service=INTAKE))
    state = ready_state(*entries, admission_of=RequestsPerSlot)
    reduce(state, _text_page(objective_s, intake_weight), 0)
    return state


class SiblingTest(TestCase):
    """A service is full, another one of the route is not."""

    def test_the_weights_hold_while_there_is_room(self) -> None:
        """Guards against flows that leave the service that the operators chose for them."""
        state = _state()
        chosen = steering(state)
        first = chosen.decide(opening(1), 0)
        assert isinstance(first, Deliver)
        self.assertEqual(PORTAL, first.upstream.entry.service)

    def test_a_full_service_sends_to_its_sibling(self) -> None:
        """Guards against refusing callers while the other service of their route idles."""
        services = _services_of(_state())
        self.assertEqual(6, services.count(PORTAL))
        self.assertEqual(12, services.count(INTAKE))
        self.assertEqual(_FLOWS - 18, services.count('Wait'))

    def test_a_service_without_a_weight_gets_nothing(self) -> None:
        """Guards against flows to a service that operators are taking away."""
        services = _services_of(_state(intake_weight=0))
        self.assertEqual({PORTAL, 'Wait'}, set(services))

    def test_impatient_callers_are_served_as_before(self) -> None:
        """Guards against a change for services whose demand is not controlled."""
        services = _services_of(_state(objective_s=0.2))
        self.assertEqual(6, services.count(PORTAL))
        self.assertEqual(0, services.count(INTAKE))

    def test_a_silent_sibling_gets_nothing(self) -> None:
        """Guards against flows that leave a full service for upstreams that do not answer."""
        state = _state()
        for number in (2, 3):
            state.directory.by_name[entry(number).name].avoided_until = 1
        self.assertEqual({PORTAL, 'Wait'}, set(_services_of(state)))
