"""Registers: the upstreams of a bucket's existing flows and of its new ones."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, MutableMapping
from dataclasses import dataclass, field
from enum import IntEnum
from types import MappingProxyType
from typing import cast

from bronzekeel.core.messages import RegisterEntry


class Stage(IntEnum):
    """Stage of a change of a bucket.

    SETTLED: any balancer with a lease may forward.  ANNOUNCED: packets go to
    the keeper, which still places new flows on the base.  ACTING: packets go to
    the keeper, which places new flows on the current upstream.
    """

    SETTLED = 0
    ANNOUNCED = 1
    ACTING = 2


class FlowMap:
    """Immutable map from fingerprints of flows to upstreams, in nine bytes per flow.

    A dictionary would take about 80 bytes per flow.  Memory matters since each
    long-lived flow may become an exception over a series of changes.
    """

    __slots__ = ('_fingerprints', '_indices', '_upstreams')

    def __init__(self, flows: Iterable[tuple[int, str]] = ()) -> None:
        """Build the map from pairs of fingerprint and upstream."""
        ordered = sorted(flows)
        names = sorted({upstream for _, upstream in ordered})
        index_by_name = {name: index for index, name in enumerate(names)}
        self._upstreams = tuple(names)
        self._fingerprints = array('Q', [flow[0] for flow in ordered])
        self._indices = array('H', [index_by_name[flow[1]] for flow in ordered])

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._fingerprints)

    def __iter__(self) -> Iterator[tuple[int, str]]:
        """Iterate over pairs of fingerprint and upstream."""
        for fingerprint, index in zip(self._fingerprints, self._indices, strict=True):
            yield fingerprint, self._upstreams[index]

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Upstreams of the flows, sorted and without duplicates."""
        return self._upstreams

    @property
    def pairs(self) -> tuple[tuple[int, int], ...]:
        """Pairs of fingerprint and index into `upstreams`."""
        return tuple(zip(self._fingerprints, self._indices, strict=True))

    def get(self, fingerprint: int) -> str | None:
        """Return the upstream of a flow, or None if the map does not contain it."""
        index = bisect_left(self._fingerprints, fingerprint)
        if index == len(self._fingerprints):
            return None
        if self._fingerprints[index] != fingerprint:
            return None
        return self._upstreams[self._indices[index]]


@dataclass(slots=True)
class FlowRecord:
    """Upstream and deadlines of one flow of an unsettled bucket.

    A SYN that arrives by `repeat_until` is a retransmission.  A later one opens
    a new flow with the same addresses and ports.
    """

    upstream: str
    expires_at: float
    repeat_until: float


#: Records of a settled bucket.  It is read-only, so that an attempt to add one raises.
NO_RECORDS: MutableMapping[int, FlowRecord] = cast(
    'MutableMapping[int, FlowRecord]',
    MappingProxyType({}),
)


@dataclass(slots=True)
class Register:
    """State of one bucket.

    `base` is the upstream of all flows without an exception or record, and
    `current` the upstream of new flows once the keeper acts on a change.
    `announced` is the journal number of the announcement, and the bucket may
    settle no earlier than `counted_at`.  Only the keeper uses `records`,
    `counted_at`, `recount_at`, `announced` and `seq`.
    """

    service: str
    bucket: int
    shard: int
    term: int
    stage: Stage
    base: str
    current: str
    exceptions: FlowMap | None = None
    seq: int = 0
    announced: int = 0
    counted_at: float = 0
    recount_at: float = 0
    records: MutableMapping[int, FlowRecord] = field(default_factory=lambda: NO_RECORDS)

    @property
    def settled(self) -> bool:
        """Whether any balancer with a lease may forward by this register."""
        return self.stage is Stage.SETTLED

    def entry(self) -> RegisterEntry:
        """Return the register as a journal entry."""
        flows = self.exceptions
        return RegisterEntry(
            service=self.service,
            bucket=self.bucket,
            term=self.term,
            stage=int(self.stage),
            base=self.base,
            current=self.current,
            others=flows.upstreams if flows else (),
            flows=flows.pairs if flows else (),
        )

    def apply(self, entry: RegisterEntry) -> None:
        """Replace the published state by that of a keeper's journal entry."""
        self.term = entry.term
        self.stage = Stage(entry.stage)
        self.base = entry.base
        self.current = entry.current
        self.exceptions = None
        if entry.flows:
            self.exceptions = FlowMap(
                (fingerprint, entry.others[index]) for fingerprint, index in entry.flows
            )
