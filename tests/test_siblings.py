"""Test flows whose service is full while another service of their route has free capacity."""

from unittest import TestCase

from bronzekeel.core.routing.admission import RequestsPerSlot
from bronzekeel.core.routing.connection_ids import route_tag_of
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
    """Return a text with one route, to the portal and, by `intake_weight`, to the intake."""
    shares = (ServiceShare(PORTAL, 1000), ServiceShare(INTAKE, intake_weight))
    route = Route(PORTAL_KEY, shares, route_tag_of(PORTAL_KEY), objective_s=objective_s)
    return page(Collection.TEXT, text(2, route))


def _services_of(state: RoutingState) -> list[str]:
    """Open many flows at once; return the service of each, or `Wait` if it waits."""
    balancer = steering(state)
    services = []
    for number in range(_FLOWS):
        verdict = balancer.decide(opening(number), 0)
        placed = isinstance(verdict, Deliver)
        services.append(verdict.upstream.entry.service if placed else delivered_to(verdict))
    return services


def _state(objective_s: float = _OBJECTIVE_S, intake_weight: int = 1) -> RoutingState:
    entries = (entry(1), entry(2, service=INTAKE), entry(3, service=INTAKE))
    state = ready_state(*entries, admission_of=RequestsPerSlot)
    reduce(state, _text_page(objective_s, intake_weight), 0)
    return state


class SiblingTest(TestCase):
    """Test a full service with a sibling that has free capacity."""

    def test_the_weights_apply_while_there_is_free_capacity(self) -> None:
        """Guards against flows that leave the service that the weights select for them."""
        state = _state()
        balancer = steering(state)
        first = balancer.decide(opening(1), 0)
        assert isinstance(first, Deliver)
        self.assertEqual(PORTAL, first.upstream.entry.service)

    def test_a_full_service_spills_to_its_sibling(self) -> None:
        """Guards against refusing callers while the other service of their route is idle."""
        services = _services_of(_state())
        self.assertEqual(6, services.count(PORTAL))
        self.assertEqual(12, services.count(INTAKE))
        self.assertEqual(_FLOWS - 18, services.count('Wait'))

    def test_a_service_without_a_weight_gets_nothing(self) -> None:
        """Guards against flows to a service that operators are removing."""
        services = _services_of(_state(intake_weight=0))
        self.assertEqual({PORTAL, 'Wait'}, set(services))

    def test_an_uncontrolled_service_uses_no_sibling(self) -> None:
        """Guards against spilling flows of services whose demand is not controlled.

        The objective is too short for demand to be controlled.
        """
        services = _services_of(_state(objective_s=0.2))
        self.assertEqual(6, services.count(PORTAL))
        self.assertEqual(0, services.count(INTAKE))

    def test_an_unresponsive_sibling_gets_nothing(self) -> None:
        """Guards against spilling flows of a full service to unresponsive upstreams."""
        state = _state()
        for number in (2, 3):
            state.directory.by_name[entry(number).name].avoided_until = 1
        self.assertEqual({PORTAL, 'Wait'}, set(_services_of(state)))
