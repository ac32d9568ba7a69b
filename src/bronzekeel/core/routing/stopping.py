"""Decide when a balancer that is being stopped may end.

What goes wrong without it: the fabric learns by two failed probes that a
balancer is leaving, and sends it packets until then; a balancer that ends at
once drops them, and opening packets wait for their repeats.  So it refuses the
probes, forwards on, and ends when the fabric has seen two refusals and sends
nothing more, or when its time is up.
"""

#: Refused probes after which the fabric stops to send packets.
#: Source: the users' fabric takes a host out after two misses.
MIN_REFUSALS = 2

#: Seconds without a packet after which none is expected.
#: Source: a busy host gets a packet each few milliseconds; three times the
#: time that a packet is under way from a far caller.
QUIET_S = 0.1

#: Share of the time allowed for a stop that is used at most; the rest is for
#: closing.
_USED = 0.85


class Stopping:
    """Hold how far a planned stop is."""

    __slots__ = ('last_packet_at', 'refusals', 'requested_at', 'within_s')

    def __init__(self, within_s: float) -> None:
        """Allow `within_s` seconds from the request to the end."""
        self.within_s = within_s
        self.requested_at: float | None = None
        self.last_packet_at: float = 0
        self.refusals = 0

    @property
    def is_requested(self) -> bool:
        """Whether a stop was asked for."""
        return self.requested_at is not None

    def begin(self, now: float) -> None:
        """Begin; a second request changes nothing."""
        if self.requested_at is None:
            self.requested_at = now

    def note_refusal(self) -> None:
        """Note that a probe was told that this balancer is not ready."""
        if self.requested_at is not None:
            self.refusals += 1

    def is_done(self, now: float) -> bool:
        """Whether the process may end."""
        if self.requested_at is None:
            return False
        if now >= self.requested_at + self.within_s * _USED:
            return True
        return self.refusals >= MIN_REFUSALS and now >= self.last_packet_at + QUIET_S
