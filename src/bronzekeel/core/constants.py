"""Define the protocol constants that all balancers share.

All times are in seconds.  Every balancer of a fleet must run with the same
values, so changing one of them is a protocol change.
"""

from typing import Final

#: Interval between heartbeats to the same peer.
HEARTBEAT_S: Final = 1.0

#: Interval at which the daemon passes ``Ticked`` to the reducer.
TICK_S: Final = 0.25

#: Validity of a keeper's lease, counted from the stamp that the lease holder sent.
LEASE_S: Final = 3.0

#: Time that a keeper waits beyond a lease before it treats it as expired, for clock drift.
LEASE_MARGIN_S: Final = 0.25

#: Time without a heartbeat after which a peer is declared dead, unless others receive its
#: heartbeats.
DEAD_S: Final = 3.5

#: Time after which a dead peer that no host list contains is removed.
FORGET_S: Final = 60.0

#: Gap between two ticks above which the process counts as having been paused.
PAUSE_S: Final = 1.5

#: Interval at which an unacknowledged message is sent again.
RESEND_S: Final = 1.0

#: Number of shards into which the buckets of all services are divided.
SHARDS: Final = 128

#: Number of hand-offs between balancers after which a packet is dropped.
HOP_LIMIT: Final = 3

#: Most exceptions that a bucket may publish; a bucket with more stays unsettled.
MAX_EXCEPTIONS: Final = 512

#: Age of published exceptions after which their flows are counted again.
RECOUNT_S: Final = 3600.0

#: Time within which a second SYN of the same flow counts as a retransmission.
SYN_REPEAT_S: Final = 30.0

#: Time for which a flow stays recorded after a FIN or RST.
LINGER_S: Final = 30.0

#: Time for which a keeper retains the records of a shard that it handed over.
RETAIN_S: Final = 2 * LEASE_S

#: Time for which a joined peer must be stable before shards are handed to it.
SETTLE_IN_S: Final = 2.0
