"""Write counters, gauges and histograms in the text format of Prometheus.

The format takes a few lines; the library that the other daemon uses takes 0.1 s of
processor time to import, for which the smallest hosts would forward nothing.
"""

from collections.abc import Callable

from bronzekeel.core.routing.histograms import BOUNDS_S, Histogram
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.state import RoutingState


_POOL_METRICS: tuple[tuple[str, str, str, Callable[[Pool], float]], ...] = (
    ('requests_in_progress', 'gauge', 'Requests in progress by service.', lambda pool: pool.busy),
    ('requests_waiting', 'gauge', 'Requests that wait for room.', lambda pool: pool.waiting),
    (
        'requests_waiting_open',
        'gauge',
        'Requests on open flows that wait for room.',
        lambda pool: pool.waiting_open,
    ),
    (
        'callers_above_share',
        'gauge',
        'Callers whose openings are refused at once.',
        lambda pool: pool.callers.above_share if pool.callers else 0,
    ),
    (
        'requests_limit',
        'gauge',
        'Requests in progress from which others wait.',
        lambda pool: pool.limit,
    ),
    ('flows_refused_total', 'counter', 'Flows that found no room.', lambda pool: pool.refused),
)


class MetricsPage:
    """Collect lines of one page."""

    def __init__(self) -> None:
        """Start with an empty page."""
        self._lines: list[str] = []

    def add(self, name: str, kind: str, helping: str, samples: dict[str, float]) -> None:
        """Add a metric with its samples by label value; an empty value has no label."""
        self._head(name, kind, helping)
        for value, number in samples.items():
            label = f'{{kind="{value}"}}' if value else ''
            self._lines.append(f'{name}{label} {number}')

    def add_histogram(self, name: str, helping: str, histogram: Histogram) -> None:
        """Add a histogram of seconds."""
        self._head(name, 'histogram', helping)
        total = 0
        for bound, count in zip((*BOUNDS_S, '+Inf'), histogram.counts, strict=True):
            total += count
            self._lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        self._lines.append(f'{name}_sum {round(histogram.total_s, 6)}')
        self._lines.append(f'{name}_count {total}')

    def encode(self) -> bytes:
        """Return the page."""
        return '\n'.join((*self._lines, '')).encode()

    def _head(self, name: str, kind: str, helping: str) -> None:
        self._lines.append(f'# HELP {name} {helping}')
        self._lines.append(f'# TYPE {name} {kind}')


def metrics_of(
    state: RoutingState,
    now: float,
    count_by_fate: dict[str, int],
    store_calls: int,
    lines_left_out: int,
) -> bytes:
    """Return a balancer's metrics."""
    page = MetricsPage()
    record = state.store_record
    page.add('bronzekeel_packets_total', 'counter', 'Packets by fate.', {**count_by_fate})
    page.add('bronzekeel_store_calls_total', 'counter', 'Calls to the store.', {'': store_calls})
    page.add(
        'bronzekeel_objects_unreadable_total',
        'counter',
        'Objects of the store that could not be read.',
        {'': record.unreadable_objects},
    )
    page.add(
        'bronzekeel_store_histories_lost_total',
        'counter',
        'Watches that the store could not go on with.',
        {'': record.histories_lost},
    )
    page.add(
        'bronzekeel_texts_refused_total',
        'counter',
        'Texts that were told and not put in force, since a newer one is.',
        {'': record.texts_refused},
    )
    page.add(
        'bronzekeel_log_lines_left_out_total',
        'counter',
        'Log lines beyond the bound of their kind.',
        {'': lines_left_out},
    )
    page.add('bronzekeel_state', 'gauge', 'State of this balancer.', _gauges(state, now))
    pools = state.directory.pools_of(state.peers.me.data_centre)
    for name, kind, helping, figure in _POOL_METRICS:
        samples = {pool.service: figure(pool) for pool in pools}
        page.add(f'bronzekeel_{name}', kind, helping, samples)
    page.add(
        'bronzekeel_learned_speed',
        'gauge',
        'Speeds of upstreams that differ from the mean of their service.',
        _speeds(state.demand.capacities.learned_speeds),
    )
    page.add(
        'bronzekeel_flows_sent_elsewhere_total',
        'counter',
        'Flows sent to other data centres where demand is controlled, by reason.',
        {**state.demand.moving.departures.flows_by_reason},
    )
    page.add(
        'bronzekeel_requests_allowed_elsewhere',
        'gauge',
        'Requests that may be in progress in other data centres, for flows without room at home.',
        _allowed_elsewhere(state),
    )
    page.add_histogram(
        'bronzekeel_answer_seconds',
        'From the last bytes of a request to the acknowledgement of its answer.',
        state.flows.answers,
    )
    return page.encode()


def _allowed_elsewhere(state: RoutingState) -> dict[str, float]:
    """Return the allowances in force of this balancer, by service."""
    allowed_by_service: dict[str, float] = {}
    home = state.peers.me.data_centre
    for pool in state.directory.pools_elsewhere(home).values():
        allowed = allowed_by_service.get(pool.service, 0) + pool.allowance
        allowed_by_service[pool.service] = round(allowed, 2)
    return allowed_by_service


def _gauges(state: RoutingState, now: float) -> dict[str, float]:
    return {
        'ready': int(state.ready),
        'stopping': int(state.stopping.asked),
        'current': int(state.is_current(now)),
        'watching': int(state.is_direct(now)),
        'store_incarnation': state.store_record.incarnation or 0,
        'generation': state.text.generation if state.text else 0,
        'routes': len(state.text.route_by_key) if state.text else 0,
        'data_centres_evacuated': len(state.directory.closed_centres.names),
        'upstreams_listed': state.directory.listed_count,
        'flows_remembered': len(state.flows),
        'peers_living': len(state.peers.living(now)),
    }


def _speeds(learned: list[float]) -> dict[str, float]:
    return {
        'least': round(min(learned, default=1), 2),
        'most': round(max(learned, default=1), 2),
        'upstreams': len(learned),
    }
