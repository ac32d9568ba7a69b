"""Count what this balancer has in progress at the upstreams of one service in one data centre."""

from bronzekeel.core.routing.caller_shares import CallerShares


#: What no number of requests reaches.
NO_LIMIT = float('inf')

#: Requests in progress for each slot of the upstreams from which further ones wait: one that
#: is worked on, and one that begins the moment it ends.  Source: with one and a half
#: a slot idles for the way of the next request; with more, answers wait in queues at upstreams,
#: where nothing can be put before them.
REQUESTS_PER_SLOT = 2.0

#: Weights of the newest flow in the mean time on the way and in its deviation, and how many
#: deviations beyond the mean are waited for.  Source: RFC 6298, which does the same for
#: acknowledgements.
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATIONS = 4

#: Seconds that are waited for the answer to an opening packet at least.  Source: five times the
#: way between the users' callers and upstreams, and a quarter of the time after which
#: callers repeat an opening packet.
MIN_ANSWER_TIMEOUT_S = 0.05

#: Seconds on the way that a flow counts for at most: a longer one waited for something else.
_MAX_RTT_S = 0.5

#: Seconds for which nothing must have waited for a queue to count as a new one.  Source: twice
#: the usual work of an upstream; in an overload a queue is empty for a moment now and then.
QUEUE_GAP_S = 0.1


class Pool:
    """Hold the requests in progress, and how many there may be.

    New flows keep away while it is `evacuated`.  The demand on it is `controlled` where what its
    upstreams can do is learned, and new flows go by it.
    `busy` counts the requests of this balancer's callers that are in progress there, by own
    sight.  From `limit` on further ones wait, and up to `allowance` they may come from flows that
    found no room in the own data centre; `waiting` counts those that do, and the queue
    of them began at `queued_since`; `waiting_open` of them are on open flows.  `callers` has the
    shares of callers where demand is controlled, None elsewhere.  `answered` counts the requests
    whose answers were acknowledged, `refused` the flows that were refused for want of room, and
    `rtt_s` is the mean time in seconds that a packet and what comes back for it are on the way
    between caller, balancer and upstream, without any work.
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
        """Whether a further request may begin at once; those that wait come first."""
        return self.busy < self.limit and not self.waiting

    @property
    def has_allowance(self) -> bool:
        """Whether a flow that found no room in its own data centre may come here."""
        return self.busy < self.allowance

    @property
    def answer_timeout_s(self) -> float:
        """Seconds after which an opening packet that nothing followed is unanswered."""
        return max(MIN_ANSWER_TIMEOUT_S, self.rtt_s + _DEVIATIONS * self._rtt_deviation_s)

    def enqueue(self, now: float) -> None:
        """Note that one more request waits."""
        if not self.waiting and now >= self._empty_since + QUEUE_GAP_S:
            self.queued_since = now
        self.waiting += 1

    def dequeue(self, now: float) -> None:
        """Note that a request waits no longer."""
        self.waiting -= 1
        self._empty_since = now

    def queued_s(self, now: float) -> float:
        """Return for how long requests have waited here, with breaks of less than ``QUEUE_GAP_S``."""
        if not self.waiting and now >= self._empty_since + QUEUE_GAP_S:
            return 0
        return now - self.queued_since

    def note_rtt(self, rtt_s: float) -> None:
        """Take the seconds from an opening packet to the next packet of its flow."""
        rtt_s = min(rtt_s, _MAX_RTT_S)
        if not self.rtt_s:
            self.rtt_s = rtt_s
        deviation_s = abs(rtt_s - self.rtt_s)
        self.rtt_s += (rtt_s - self.rtt_s) * _MEAN_WEIGHT
        self._rtt_deviation_s += (deviation_s - self._rtt_deviation_s) * _DEVIATION_WEIGHT
