"""Hold the register of a bucket: where its flows are and where new ones go."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, MutableMapping
from dataclasses import dataclass, field
from enum import IntEnum
from types import MappingProxyType
from typing import cast

from bronzekeel.core.messages import RegisterEntry


class Stage(IntEnum):
    """Tell how far a change of a bucket has come.

    SETTLED: any balancer forwards.  ANNOUNCED: packets go to the keeper, which
    still places new flows on the base.  ACTING: the keeper places new flows on
    the current upstream.
    """

    SETTLED = 0
    ANNOUNCED = 1
    ACTING = 2


class FlowMap:
    """Map fingerprints of flows to upstreams in nine bytes a flow.

    A dictionary of integers would take about eighty; a season of changes
    leaves an entry for each long feed.
    """

    __slots__ = ('_fingerprints', '_indices', '_upstreams')

    def __init__(self, flows: Iterable[tuple[int, str]] = ()) -> None:
        """Sort `flows`, pairs of fingerprint and upstream, for bisection."""
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
        """Upstreams that occur, without repeats."""
        return self._upstreams

    @property
    def pairs(self) -> tuple[tuple[int, int], ...]:
        """Pairs of fingerprint and index into `upstreams`."""
        return tuple(zip(self._fingerprints, self._indices, strict=True))

    def get(self, fingerprint: int) -> str | None:
        """Return the upstream of a flow, None when it is no exception."""
        index = bisect_left(self._fingerprints, fingerprint)
        if index == len(self._fingerprints):
            return None
        if self._fingerprints[index] != fingerprint:
            return None
        return self._upstreams[self._indices[index]]


@dataclass(slots=True)
class FlowRecord:
    """Hold where one flow of an unsettled bucket is, with its deadlines.

    A SYN before `repeat_until` is a retransmission, a later one a new flow
    with a key used again.
    """

    upstream: str
    expires_at: float
    repeat_until: float


#: Stands for the records of a settled bucket; writing to it is a fault.
NO_RECORDS: MutableMapping[int, FlowRecord] = cast(
    'MutableMapping[int, FlowRecord]',
    MappingProxyType({}),
)


@dataclass(slots=True)
class Register:
    """Hold one bucket.

    `base` has all flows that no exception or record names.  `records`,
    `counted_at`, `announced` and `seq` matter to the keeper alone.
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
        """Whether any balancer may forward by this register."""
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
        """Become what a keeper's journal entry says."""
        self.term = entry.term
        self.stage = Stage(entry.stage)
        self.base = entry.base
        self.current = entry.current
        self.exceptions = None
        if entry.flows:
            self.exceptions = FlowMap(
                (fingerprint, entry.others[index]) for fingerprint, index in entry.flows
            )
