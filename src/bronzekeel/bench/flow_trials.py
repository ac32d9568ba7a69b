"""Scenarios of the flow benchmark, each run with one steering policy."""

from abc import ABC, abstractmethod
from collections import Counter
from typing import ClassVar

from msgspec import Struct

from bronzekeel.bench.baselines import BaselineFleet, HashPolicy, FlowTablePolicy
from bronzekeel.core.catalogue import Catalogue, ServiceKind, ServiceSpec, UpstreamSpec
from bronzekeel.core.messages import HostEntry
from bronzekeel.replay.fleet import Fleet
from bronzekeel.replay.traffic import FlowTraffic

_CENTRES = 'abc'
_PER_CENTRE = 3
_START_UP_S = 6.0
_IDLE_S = 20.0
_LAG_S = 2.0
_STOP_S = 10.0


class FlowFigures(Struct, frozen=True):
    """Results of one steering policy in one scenario."""

    flows: int
    broken: int
    misdelivered: int
    stalled_packets: int
    handed_share: float
    control_bytes_per_s: float
    imbalance: float
    unsettled_at_end: int


def bench_hosts() -> list[HostEntry]:
    """Return nine hosts over three data centres."""
    return [
        HostEntry(f'{centre}{number}', f'dc-{centre}', '127.0.0.1', 1, 2, 3)
        for centre in _CENTRES
        for number in range(1, _PER_CENTRE + 1)
    ]


def portal(numbers: range | list[int], draining: tuple[int, ...] = ()) -> ServiceSpec:
    """Return the spec of a flow service with numbered upstreams."""
    return ServiceSpec(
        'summons-portal',
        ServiceKind.FLOW,
        '198.51.100.10',
        443,
        tuple(
            UpstreamSpec(f'10.0.0.{number}:5555', 'dc-a', draining=number in draining)
            for number in numbers
        ),
        idle_s=_IDLE_S,
    )


class Trial:
    """A fleet and its traffic during one scenario."""

    def __init__(self, policy: str, seed: int, flows: int) -> None:
        """Start nine balancers that use the steering policy `policy`."""
        self.flows = flows
        self.generation = 0
        self.traffic = FlowTraffic(portal(range(7)))
        self.fleet = _fleet(policy, seed, self.traffic)
        self.traffic.fleet = self.fleet
        self.submit(portal(range(7)))
        self.fleet.run(_START_UP_S)
        for balancer in self.fleet.running:
            balancer.view_lag_s = self.fleet.random.random() * _LAG_S
        self._bytes_before = self._control_bytes()
        self._started_at = self.fleet.now

    def submit(self, spec: ServiceSpec) -> None:
        """Submit `spec` as the next generation of the text."""
        self.generation += 1
        self.fleet.submit(Catalogue(self.generation, {spec.name: spec}))

    def open(self, over_s: float, lasting_s: float, every_s: float = 2.0) -> None:
        """Open the trial's flows during the first `over_s` seconds."""
        packets = int(lasting_s / every_s)
        self.traffic.open(self.flows, over_s, packets, every_s)

    def replace(self, name: str) -> None:
        """Shut one balancer down gracefully and start a new one on its host."""
        host = next(entry for entry in bench_hosts() if entry.name == name)
        self.fleet.stop(name)
        self.fleet.run(_STOP_S)
        self.fleet.unlist(name)
        self.fleet.start(host)
        self.fleet.run(_START_UP_S)

    def figures(self) -> FlowFigures:
        """Return the results of the trial."""
        verdicts: Counter[str] = Counter()
        unsettled = 0
        if isinstance(self.fleet, Fleet):
            verdicts = _verdicts(self.fleet)
            unsettled = sum(len(node.state.steering.unsettled) for node in self.fleet.running)
        elapsed_s = max(1.0, self.fleet.now - self._started_at)
        wire_bytes = self._control_bytes() - self._bytes_before
        hosts = max(1, len(self.fleet.by_name))
        return FlowFigures(
            flows=self.traffic.opened,
            broken=self.traffic.broken,
            misdelivered=self.traffic.misdelivered,
            stalled_packets=sum(self.traffic.drops.values()),
            handed_share=round(verdicts['Hand'] / max(1, self.traffic.packets), 4),
            control_bytes_per_s=round(wire_bytes / elapsed_s / hosts, 1),
            imbalance=round(self.traffic.imbalance(), 4),
            unsettled_at_end=unsettled,
        )

    def _control_bytes(self) -> int:
        if not isinstance(self.fleet, Fleet):
            return 0
        return sum(sum(node.bytes_by_kind.values()) for node in self.fleet.by_name.values())


def _verdicts(fleet: Fleet) -> Counter[str]:
    verdicts: Counter[str] = Counter()
    for node in fleet.by_name.values():
        verdicts.update(node.verdicts)
    return verdicts


def _fleet(policy: str, seed: int, traffic: FlowTraffic) -> Fleet | BaselineFleet:
    if policy == 'hash':
        return BaselineFleet(bench_hosts(), seed, traffic, HashPolicy())
    if policy == 'tables':
        return BaselineFleet(bench_hosts(), seed, traffic, FlowTablePolicy())
    fleet = Fleet(bench_hosts(), seed, traffic)
    for node in fleet.running:
        node.state.steering.fenced = policy != 'on_sight'
        node.state.steering.replicating = policy != 'no_copies'
    return fleet


class Scenario(ABC):
    """A sequence of changes and faults that is applied to a trial."""

    name: ClassVar[str]
    planned: ClassVar[bool] = True

    @abstractmethod
    def play(self, trial: Trial) -> None:
        """Open flows and apply the scenario's events."""


class Steady(Scenario):
    """No changes."""

    name = 'steady'

    def play(self, trial: Trial) -> None:
        """Open flows and let them finish."""
        trial.open(5, 20)
        trial.fleet.run(30)


class OneText(Scenario):
    """One new text while flows are open."""

    new_spec: ClassVar[ServiceSpec]

    def play(self, trial: Trial) -> None:
        """Open flows, submit the new text, and wait until the change has settled."""
        trial.open(10, 30)
        trial.fleet.run(5)
        trial.submit(self.new_spec)
        trial.fleet.run(45)


class Join(OneText):
    """An upstream joins."""

    name = 'join'
    new_spec = portal(range(8))


class Drain(OneText):
    """An upstream drains."""

    name = 'drain'
    new_spec = portal(range(7), draining=(3,))


class Removal(OneText):
    """An upstream is removed from the text."""

    name = 'removal'
    new_spec = portal([0, 1, 2, 4, 5, 6])


class Several(Scenario):
    """Several upstreams change, twice within the lag of the views."""

    name = 'several'

    def play(self, trial: Trial) -> None:
        """Submit two texts one second apart."""
        trial.open(10, 30)
        trial.fleet.run(5)
        trial.submit(portal([0, 1, 2, 4, 5, 6, 7, 8], draining=(0,)))
        trial.fleet.run(1)
        trial.submit(portal([0, 1, 4, 5, 6, 7, 8], draining=(1,)))
        trial.fleet.run(45)


class Rolling(Scenario):
    """All balancers are replaced one by one while upstreams change."""

    name = 'rolling'

    def play(self, trial: Trial) -> None:
        """Replace each host, and change the upstreams before every second one."""
        trial.open(20, 170, every_s=4)
        trial.fleet.run(5)
        for number, host in enumerate(bench_hosts()):
            if number % 2:
                trial.submit(portal(range(8), draining=(number % 5,)))
            trial.fleet.run(1)
            trial.replace(host.name)
        trial.fleet.run(30)


class Deaths(Scenario):
    """Keepers crash during a change of the text."""

    planned = False
    victims: ClassVar[tuple[str, ...]]

    def play(self, trial: Trial) -> None:
        """Kill balancers eight seconds after an upstream has joined."""
        trial.open(10, 40)
        trial.fleet.run(3)
        trial.submit(portal(range(8)))
        trial.fleet.run(8)
        for name in self.victims:
            trial.fleet.kill(name)
        trial.fleet.run(45)


class Death(Deaths):
    """One keeper crashes."""

    name = 'death'
    victims = ('a1',)


class TwoDeaths(Deaths):
    """Two keepers crash at once."""

    name = 'two_deaths'
    victims = ('a1', 'b2')


class Pause(Scenario):
    """A keeper is paused beyond its lease and resumes after a change."""

    name = 'pause'
    planned = False

    def play(self, trial: Trial) -> None:
        """Pause one balancer right before an upstream joins."""
        trial.open(15, 40)
        trial.fleet.run(4)
        trial.fleet.pause('a1', 12)
        trial.fleet.run(0.5)
        trial.submit(portal(range(8)))
        trial.fleet.run(55)


class HostCut(Scenario):
    """One balancer loses its peers while the network still routes packets to it."""

    name = 'host_cut'
    planned = False

    def play(self, trial: Trial) -> None:
        """Partition the host, change the text, and heal the partition."""
        trial.open(15, 60)
        trial.fleet.run(4)
        others = [host.name for host in bench_hosts() if host.name != 'a1']
        trial.fleet.cut(['a1'], others)
        trial.fleet.run(0.5)
        trial.submit(portal(range(8)))
        trial.fleet.run(20)
        trial.fleet.heal()
        trial.fleet.run(50)


class CentreCut(Scenario):
    """One data centre is partitioned while the text changes for the rest."""

    name = 'centre_cut'
    planned = False

    def play(self, trial: Trial) -> None:
        """Partition the data centre, submit a text, and heal the partition."""
        trial.open(15, 60)
        trial.fleet.run(4)
        inside = [host.name for host in bench_hosts() if host.data_centre == 'dc-a']
        outside = [host.name for host in bench_hosts() if host.data_centre != 'dc-a']
        trial.fleet.cut(inside, outside)
        trial.fleet.run(8)
        trial.submit(portal(range(8)))
        trial.fleet.run(12)
        trial.fleet.heal()
        trial.fleet.run(50)


class ManyChanges(Scenario):
    """Upstreams change 200 times while flows from the start stay open."""

    name = 'season'

    def play(self, trial: Trial) -> None:
        """Drain and restore upstreams in turn, one change every ten seconds."""
        changes = 200
        interval_s = 10.0
        trial.open(20, (changes + 8) * interval_s, every_s=8)
        trial.fleet.run(25)
        for number in range(changes):
            drained = (number % 7,) if number % 2 else ()
            trial.submit(portal(range(7), draining=drained))
            trial.fleet.run(interval_s)
        trial.fleet.run(60)


SCENARIOS: tuple[type[Scenario], ...] = (
    Steady,
    Join,
    Drain,
    Removal,
    Several,
    Rolling,
    ManyChanges,
    Death,
    TwoDeaths,
    Pause,
    HostCut,
    CentreCut,
)
