"""Test the index of upstreams by pool and the cached capacity of pools."""

from collections.abc import Iterable
from random import Random
from unittest import TestCase
from unittest.mock import patch

from bronzekeel.core.routing import pool_members
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.events import HeartbeatHeard, Ticked
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Evacuated, Heartbeat, PeerAddress, ServiceDemand
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.shared_load import OUTLIER_FACTOR, OUTLIER_SLACK, SharedLoads
from bronzekeel.core.routing.state import RoutingState
from tests.routing_cases import PORTAL, PORTAL_KEY, entry, page, ready_state, route, text


_CENTRES = ('dc-a', 'dc-b')
_UPSTREAMS = 12
_STEPS = 400


class CapacityTest(TestCase):
    """Cached capacities after changes to upstreams and pools."""

    def setUp(self) -> None:
        """Start with upstreams in two data centres."""
        self.random = Random(1)
        self.directory = Directory()
        self.revision = _UPSTREAMS
        for number in range(1, _UPSTREAMS + 1):
            self.directory.apply(entry(number, data_centre=_CENTRES[number % 2]), 0)

    def test_capacity_matches_full_scan_after_each_change(self) -> None:
        """Guards against distributing flows by the capacity of upstreams that have left."""
        changes = (
            self._apply_entry,
            self._withhold_entry,
            self._remove_entry,
            self._evacuate_centres,
            self._restart_upstream,
        )
        for step in range(_STEPS):
            self.revision += 1
            self.random.choice(changes)(step)
            self.assertEqual(
                _scanned_capacity(self.directory.of_service(PORTAL)),
                self.directory.pool_members.capacity_by_centre(PORTAL),
            )

    def test_capacity_after_a_learned_speed_is_forgotten(self) -> None:
        """Guards against a learned speed that remains in use without demand control."""
        state = _controlled_state()
        reduce(state, Ticked(), 0.1)
        before = state.directory.pool_members.capacity_by_centre(PORTAL)
        upstream = state.directory.by_number[entry(1).short_number]
        state.demand.capacities._learned_of(upstream)  # noqa: SLF001
        upstream.speed = 0.5
        state.text = text(9)
        reduce(state, Ticked(), 3)
        self.assertEqual(1, upstream.speed)
        self.assertEqual(before, state.directory.pool_members.capacity_by_centre(PORTAL))

    def test_ticks_without_changes_reuse_cached_capacity(self) -> None:
        """Guards against scanning the upstreams of all data centres in each tick."""
        state = _controlled_state()
        peer = PeerAddress('b1', 'dc-b', ('b1', 9))
        for tick in range(1, 20):
            _apply_heartbeat_and_tick(state, peer, tick / 10)
        with patch.object(pool_members, 'PoolCapacity', side_effect=AssertionError):
            for tick in range(20, 60):
                _apply_heartbeat_and_tick(state, peer, tick / 10)

    def _apply_entry(self, step: int) -> None:
        number = self.random.randint(1, _UPSTREAMS + 3)
        centre = _CENTRES[number % 2]
        draining = self.random.choice((True, False, False))
        changed = entry(number, revision=self.revision, data_centre=centre, draining=draining)
        self.directory.apply(changed, step)

    def _withhold_entry(self, step: int) -> None:
        self.directory.withhold(self._random_name(), self.revision)

    def _remove_entry(self, step: int) -> None:
        self.directory.note_removed(self._random_name(), self.revision, step)
        self.directory.forget_old(step)

    def _evacuate_centres(self, step: int) -> None:
        evacuated = frozenset(self.random.sample(_CENTRES, self.random.randint(0, 2)))
        self.directory.evacuated_centres.apply(Evacuated(self.revision, evacuated), step)
        self.directory.update_evacuated_pools()

    def _restart_upstream(self, step: int) -> None:
        number = self.random.randint(1, _UPSTREAMS)
        restarted = entry(number, revision=self.revision, data_centre=_CENTRES[step % 2], slots=2)
        restarted.started_ms = step + 1
        self.directory.apply(restarted, step)

    def _random_name(self) -> str:
        return entry(self.random.randint(1, _UPSTREAMS)).name


class SharedLoadTest(TestCase):
    """Shared loads, updated only at the upstreams that peers report or last reported."""

    def test_shared_loads_match_full_scan(self) -> None:
        """Guards against missing a slow upstream, or singling it out after it has recovered."""
        random = Random(2)
        directory = Directory()
        for number in range(1, _UPSTREAMS + 1):
            directory.apply(entry(number), 0)
        upstreams = directory.of_service(PORTAL)
        loads = SharedLoads()
        for step in range(_STEPS):
            if step % 10 == 0:
                directory.note_removed(random.choice(upstreams).entry.name, 100 + step, step)
            reported = random.sample(upstreams, 3)
            busy_by_number = {busy.entry.short_number: random.randint(1, 20) for busy in reported}
            loads.note(directory, busy_by_number)
            for upstream in upstreams:
                self.assertAlmostEqual(
                    _scanned_shared_load(upstream, upstreams), upstream.shared_load
                )


def _scanned_capacity(upstreams: Iterable[Upstream]) -> dict[str, float]:
    """Return the capacity for new flows by data centre, from a scan of all upstreams."""
    capacity_by_centre: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.listed and upstream.entry.accepts_flows and not upstream.pool.evacuated:
            centre = upstream.entry.data_centre
            capacity_by_centre[centre] = capacity_by_centre.get(centre, 0) + upstream.capacity
    return capacity_by_centre


def _scanned_shared_load(upstream: Upstream, upstreams: list[Upstream]) -> float:
    """Return the shared load of an upstream, from a scan of all upstreams of its pool."""
    listed = [other for other in upstreams if other.listed] or upstreams
    others = sum(other.capacity for other in listed) - upstream.capacity
    if others <= 0:
        return 0
    busy = sum(other.busy_at_peers for other in listed) - upstream.busy_at_peers
    usual = busy / others
    load = upstream.busy_at_peers / upstream.capacity
    return max(0, load - usual * OUTLIER_FACTOR - OUTLIER_SLACK)


def _controlled_state() -> RoutingState:
    """Return a ready state whose demand is controlled, with upstreams in two data centres."""
    state = ready_state(entry(1), entry(2), entry(3, data_centre='dc-b'))
    route_with_objective = route(PORTAL_KEY, PORTAL)
    route_with_objective.objective_s = 0.6
    reduce(state, page(Collection.TEXT, text(5, route_with_objective)), 0)
    state.text = text(5, route_with_objective)
    return state


def _apply_heartbeat_and_tick(state: RoutingState, peer: PeerAddress, now: float) -> None:
    """Pass a heartbeat of a peer and a tick to the reducer."""
    demand = {PORTAL: ServiceDemand(10, 0)}
    loads = {PORTAL: 0.5}
    heartbeat = Heartbeat(peer, 1, 1, {}, (), {PORTAL: 10.0}, load_by_service=loads)
    heartbeat.demand_by_service = demand
    reduce(state, HeartbeatHeard(heartbeat), now)
    reduce(state, Ticked(), now)
