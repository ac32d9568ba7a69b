"""Test when demand is controlled: by the objectives of a text, or by a setting."""

from unittest import TestCase

from bronzekeel.core.routing.connection_ids import route_tag_of
from bronzekeel.core.routing.demand_control import (
    MIN_OBJECTIVE_S,
    DemandControl,
    DemandControlMode,
)
from bronzekeel.core.routing.messages import View
from bronzekeel.core.routing.model import Route, RoutingText, ServiceShare
from bronzekeel.entry.peer_messages import decode_view, encode_view


_KEY = bytes((198, 18, 0, 1, 1, 187))
_OTHER_KEY = bytes((198, 18, 0, 1, 1, 188))


def _route(key: bytes, objective_s: float, *services: str) -> Route:
    shares = tuple(ServiceShare(service, 1) for service in services)
    return Route(key, shares, route_tag_of(key), objective_s=objective_s)


def _text(*routes: Route) -> RoutingText:
    return RoutingText(1, 1, {route.key: route for route in routes}, 15)


class DemandControlTest(TestCase):
    """Control by objectives, always, or never."""

    def test_patient_callers(self) -> None:
        """Demand is controlled if all callers of a text can wait."""
        text = _text(_route(_KEY, MIN_OBJECTIVE_S, 'portal'), _route(_OTHER_KEY, 2, 'archive'))
        self.assertTrue(DemandControl().covers(text))

    def test_the_least_patient_route_decides(self) -> None:
        """Guards against requests of an impatient route queued behind those of a patient one."""
        text = _text(
            _route(_KEY, MIN_OBJECTIVE_S, 'archive'),
            _route(_OTHER_KEY, MIN_OBJECTIVE_S / 2, 'portal'),
        )
        self.assertFalse(DemandControl().covers(text))

    def test_no_objective(self) -> None:
        """Guards against making callers wait whose objective is unknown."""
        text = _text(_route(_KEY, 0, 'portal'), _route(_OTHER_KEY, 1, 'portal'))
        self.assertFalse(DemandControl().covers(text))
        self.assertFalse(DemandControl().covers(_text()))
        self.assertFalse(DemandControl().covers(None))

    def test_settings(self) -> None:
        """Operators may decide for all texts."""
        self.assertTrue(DemandControl(DemandControlMode.ALWAYS).covers(_text()))
        patient = _text(_route(_KEY, 1, 'portal'))
        self.assertFalse(DemandControl(DemandControlMode.NEVER).covers(patient))

    def test_peers_receive_the_objective(self) -> None:
        """Guards against hosts that got the text from a peer and serve it differently."""
        text = _text(_route(_KEY, 0.552, 'portal'), _route(_OTHER_KEY, 0.7, 'archive'))
        received = decode_view(encode_view(View(text, 1, [], [], 1))).text
        assert received is not None
        self.assertEqual(0.552, received.min_objective_s)
