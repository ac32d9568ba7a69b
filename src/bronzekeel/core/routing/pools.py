"""Count the requests in progress at the upstreams of one service in one data centre."""

from bronzekeel.core.routing.caller_shares import CallerShares


#: Limit that no number of requests reaches.
NO_LIMIT = float('inf')

#: Requests in progress per slot of the upstreams, beyond which further requests wait: one that is
#: processed, and one that starts as soon as that one ends.  With one and a half, a slot idles for
#: the travel time of the next request; with more, requests queue at the upstreams, where they
#: cannot be overtaken by more important ones.
REQUESTS_PER_SLOT = 2.0

#: Weights of the newest sample in the mean round-trip time and in its deviation, and the number of
#: deviations added to the mean for the timeout, as RFC 6298 does for acknowledgements.
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATIONS = 4

#: Minimum seconds to wait for the answer to an opening packet.  This is five times the travel time
#: between the users' callers and upstreams, and a quarter of the time after which callers repeat an
#: opening packet.
MIN_ANSWER_TIMEOUT_S = 0.05

#: Upper bound of a round-trip sample in seconds; longer ones include other delays.
_MAX_RTT_S = 0.5

#: Seconds without waiting requests after which a queue counts as a new one.  This is twice the
#: usual processing time of an upstream; in an overload a queue is briefly empty now and then.
QUEUE_GAP_S = 0.1


class Pool:
    """Hold the number of requests in progress and its limits.

    It gets no new flows while it is `evacuated`.  The demand on it is `controlled` if the capacity
    of its upstreams is learned and used for the placement of new flows.  `busy` counts
    the requests of this balancer's callers that are in progress in the pool, as observed by this
    balancer.  Beyond `limit` further requests wait, and up to `allowance` they may come from flows
    that found no free capacity in their local data centre.  `waiting` counts the waiting requests,
    `waiting_open` those of them on open flows, and the queue began at `queued_since`.  `callers`
    has the shares of callers if demand is controlled, otherwise None.  `answered` counts the
    requests whose answers were acknowledged, `refused` the flows that were refused for lack of
    capacity, and `rtt_s` is the mean round-trip time in seconds between caller, balancer and
    upstream, without processing.
    """

    __slots__ = (
        '_empty_since',
        '_rtt_deviation_s',
        'allowance',
        'answered',
        'busy',
        'callers',
        'controlled',
        'data_centre',
        'evacuated',
        'limit',
        'queued_since',
        'refused',
        'rtt_s',
        'service',
        'waiting',
        'waiting_open',
    )

    def __init__(self, service: str, data_centre: str, *, evacuated: bool = False) -> None:
        """Start with nothing in progress and no limit."""
        self.service = service
        self.data_centre = data_centre
        self.evacuated = evacuated
        self.controlled = False
        self.busy = 0
        self.limit = NO_LIMIT
        self.allowance: float = 0
        self.waiting = 0
        self.waiting_open = 0
        self.callers: CallerShares | None = None
        self.queued_since: float = 0
        self.answered = 0
        self.refused = 0
        self.rtt_s: float = 0
        self._empty_since: float = 0
        self._rtt_deviation_s: float = 0

    @property
    def has_free_capacity(self) -> bool:
        """Whether a further request may start at once; waiting requests come first."""
        return self.busy < self.limit and not self.waiting

    @property
    def has_allowance(self) -> bool:
        """Whether a flow that found no free capacity in its local data centre may come here."""
        return self.busy < self.allowance

    @property
    def answer_timeout_s(self) -> float:
        """Seconds after which an opening packet that nothing followed counts as unanswered."""
        return max(MIN_ANSWER_TIMEOUT_S, self.rtt_s + _DEVIATIONS * self._rtt_deviation_s)

    def enqueue(self, now: float) -> None:
        """Count a request that starts to wait."""
        if not self.waiting and now >= self._empty_since + QUEUE_GAP_S:
            self.queued_since = now
        self.waiting += 1

    def dequeue(self, now: float) -> None:
        """Count a request that no longer waits."""
        self.waiting -= 1
        self._empty_since = now

    def queued_s(self, now: float) -> float:
        """Return the age of the queue in seconds; gaps below ``QUEUE_GAP_S`` don't end it."""
        if not self.waiting and now >= self._empty_since + QUEUE_GAP_S:
            return 0
        return now - self.queued_since

    def note_rtt(self, rtt_s: float) -> None:
        """Add a sample: the seconds from an opening packet to the next packet of its flow."""
        rtt_s = min(rtt_s, _MAX_RTT_S)
        if not self.rtt_s:
            self.rtt_s = rtt_s
        deviation_s = abs(rtt_s - self.rtt_s)
        self.rtt_s += (rtt_s - self.rtt_s) * _MEAN_WEIGHT
        self._rtt_deviation_s += (deviation_s - self._rtt_deviation_s) * _DEVIATION_WEIGHT
