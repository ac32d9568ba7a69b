"""Decide when a balancer that is being stopped may end.

The fabric detects by two failed readiness probes that a balancer is leaving,
and keeps sending it packets until then.  A balancer that ended at once would
drop them, and opening packets would wait for their repeats.  So a stopping
balancer fails the probes but keeps forwarding.  It ends when the fabric has
seen two refusals and sends no more packets, or when the time limit is reached.
"""

#: Refused probes after which the fabric stops sending packets: the users'
#: fabric removes a host after two failed probes.
MIN_REFUSALS = 2

#: Seconds without a packet after which none is expected.  A busy host receives
#: a packet every few milliseconds; this is three times the network delay from a
#: distant caller.
QUIET_S = 0.1

#: Fraction of the time allowed for a stop that may be spent on forwarding; the
#: rest is left for closing.
_FORWARDING_FRACTION = 0.85


class Stopping:
    """Track the progress of a planned stop."""

    __slots__ = ('last_packet_at', 'refusals', 'requested_at', 'within_s')

    def __init__(self, within_s: float) -> None:
        """Allow `within_s` seconds from the request to stop until the process ends."""
        self.within_s = within_s
        self.requested_at: float | None = None
        self.last_packet_at: float = 0
        self.refusals = 0

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested."""
        return self.requested_at is not None

    def begin(self, now: float) -> None:
        """Begin to stop; further requests have no effect."""
        if self.requested_at is None:
            self.requested_at = now

    def note_refusal(self) -> None:
        """Count a probe that was answered as not ready, if a stop was requested."""
        if self.requested_at is not None:
            self.refusals += 1

    def is_done(self, now: float) -> bool:
        """Whether the process may end."""
        if self.requested_at is None:
            return False
        if now >= self.requested_at + self.within_s * _FORWARDING_FRACTION:
            return True
        return self.refusals >= MIN_REFUSALS and now >= self.last_packet_at + QUIET_S
