"""Metrics of a balancer in the Prometheus text format.

The format needs a few lines of code.  The client library that the other daemon uses takes 0.1 s of
processor time to import, during which the smallest hosts would not forward packets.
"""

from collections.abc import Callable

from bronzekeel.core.routing.histograms import BOUNDS_S, Histogram
from bronzekeel.core.routing.pools import Pool
from bronzekeel.core.routing.state import RoutingState


_COUNTER = 'counter'

_POOL_METRICS: tuple[tuple[str, str, str, Callable[[Pool], float]], ...] = (
    ('requests_in_progress', 'gauge', 'Requests in progress by service.', lambda pool: pool.busy),
    (
        'requests_waiting',
        'gauge',
        'Requests that wait for free capacity.',
        lambda pool: pool.waiting,
    ),
    (
        'requests_waiting_open',
        'gauge',
        'Requests on open flows that wait for free capacity.',
        lambda pool: pool.waiting_open,
    ),
    (
        'callers_above_share',
        'gauge',
        'Callers above their share, whose opening packets are refused immediately.',
        lambda pool: pool.callers.above_share if pool.callers else 0,
    ),
    (
        'requests_limit',
        'gauge',
        'Limit of requests in progress, at which further requests wait.',
        lambda pool: pool.limit,
    ),
    (
        'flows_refused_total',
        _COUNTER,
        'Flows refused for lack of free capacity.',
        lambda pool: pool.refused,
    ),
)


class MetricsPage:
    """Builder for one page of metrics."""

    def __init__(self) -> None:
        """Initialise an empty page."""
        self._lines: list[str] = []

    def add(self, name: str, kind: str, help_text: str, samples: dict[str, float]) -> None:
        """Add a metric with samples by the value of their label `kind`; '' adds no label."""
        self._add_head(name, kind, help_text)
        for value, number in samples.items():
            label = f'{{kind="{value}"}}' if value else ''
            self._lines.append(f'{name}{label} {number}')

    def add_histogram(self, name: str, help_text: str, histogram: Histogram) -> None:
        """Add a histogram of durations in seconds."""
        self._add_head(name, 'histogram', help_text)
        total = 0
        for bound, count in zip((*BOUNDS_S, '+Inf'), histogram.counts, strict=True):
            total += count
            self._lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        self._lines.append(f'{name}_sum {round(histogram.total_s, 6)}')
        self._lines.append(f'{name}_count {total}')

    def encode(self) -> bytes:
        """Return the page as bytes."""
        return '\n'.join((*self._lines, '')).encode()

    def _add_head(self, name: str, kind: str, help_text: str) -> None:
        self._lines.append(f'# HELP {name} {help_text}')
        self._lines.append(f'# TYPE {name} {kind}')


def metrics_of(
    state: RoutingState,
    now: float,
    count_by_outcome: dict[str, int],
    store_calls: int,
    lines_left_out: int,
) -> bytes:
    """Return the metrics page of a balancer."""
    page = MetricsPage()
    record = state.store_record
    page.add('bronzekeel_packets_total', _COUNTER, 'Packets by outcome.', {**count_by_outcome})
    page.add('bronzekeel_store_calls_total', _COUNTER, 'Calls to the store.', {'': store_calls})
    page.add(
        'bronzekeel_objects_unreadable_total',
        _COUNTER,
        'Objects of the store that could not be read.',
        {'': record.unreadable_objects},
    )
    page.add(
        'bronzekeel_store_histories_lost_total',
        _COUNTER,
        'Watches that the store could not continue because their history was gone.',
        {'': record.histories_lost},
    )
    page.add(
        'bronzekeel_store_watches_doubted_total',
        _COUNTER,
        'Watches that were restarted because their answer may be lost.',
        {'': record.watches_doubted},
    )
    page.add(
        'bronzekeel_texts_refused_total',
        _COUNTER,
        'Texts received but not applied because a newer one is in force.',
        {'': record.texts_refused},
    )
    page.add(
        'bronzekeel_log_lines_left_out_total',
        _COUNTER,
        'Log lines dropped because of the rate limit of their kind or a full buffer.',
        {'': lines_left_out},
    )
    page.add('bronzekeel_state', 'gauge', 'State of this balancer.', _state_gauges(state, now))
    pools = state.directory.pools_of(state.peers.me.data_centre)
    for name, kind, help_text, measure in _POOL_METRICS:
        samples = {pool.service: measure(pool) for pool in pools}
        page.add(f'bronzekeel_{name}', kind, help_text, samples)
    page.add(
        'bronzekeel_learned_speed',
        'gauge',
        'Learned speeds of upstreams that differ from the mean of their service.',
        _speed_range(state.demand.capacities.learned_speeds),
    )
    page.add(
        'bronzekeel_flows_sent_elsewhere_total',
        _COUNTER,
        'Flows of demand-controlled services sent to other data centres, by reason.',
        {**state.demand.moving.remote_flows.flows_by_reason},
    )
    page.add(
        'bronzekeel_requests_allowed_elsewhere',
        'gauge',
        'Allowed requests in progress in remote data centres for flows without local capacity.',
        _remote_allowances(state),
    )
    page.add_histogram(
        'bronzekeel_answer_seconds',
        'Time from the last bytes of a request to the acknowledgement of its answer.',
        state.flows.answers,
    )
    return page.encode()


def _remote_allowances(state: RoutingState) -> dict[str, float]:
    """Return the allowances of this balancer in remote data centres, summed by service."""
    allowed_by_service: dict[str, float] = {}
    local_centre = state.peers.me.data_centre
    for pool in state.directory.remote_pools(local_centre).values():
        allowed = allowed_by_service.get(pool.service, 0) + pool.allowance
        allowed_by_service[pool.service] = round(allowed, 2)
    return allowed_by_service


def _state_gauges(state: RoutingState, now: float) -> dict[str, float]:
    return {
        'ready': int(state.ready),
        'stopping': int(state.stopping.is_requested),
        'current': int(state.is_current(now)),
        'watching': int(state.is_direct(now)),
        'store_incarnation': state.store_record.incarnation or 0,
        'generation': state.text.generation if state.text else 0,
        'routes': len(state.text.route_by_key) if state.text else 0,
        'data_centres_evacuated': len(state.directory.evacuated_centres.names),
        'upstreams_listed': state.directory.listed_count,
        'flows_remembered': len(state.flows),
        'peers_living': len(state.peers.live_neighbours(now)),
    }


def _speed_range(speeds: list[float]) -> dict[str, float]:
    return {
        'least': round(min(speeds, default=1), 2),
        'most': round(max(speeds, default=1), 2),
        'upstreams': len(speeds),
    }
