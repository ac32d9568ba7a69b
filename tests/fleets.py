"""Fleets, texts and traffic that several tests share."""

from bronzekeel.core.catalogue import Catalogue, ServiceKind, ServiceSpec, UpstreamSpec
from bronzekeel.core.messages import HostEntry
from bronzekeel.core.steering.registers import Register
from bronzekeel.replay.fleet import Fleet, Node
from bronzekeel.replay.traffic import FlowTraffic

PORTAL = 'summons-portal'
IDLE_S = 20.0
START_UP_S = 6.0


def hosts(per_centre: int = 3) -> list[HostEntry]:
    """Return the hosts of a fleet over three data centres."""
    return [
        HostEntry(f'{centre}{number}', f'dc-{centre}', '127.0.0.1', 1, 2, 3)
        for centre in 'abc'
        for number in range(1, per_centre + 1)
    ]


def endpoint(number: int) -> str:
    """Return the endpoint of an upstream by its number."""
    return f'10.0.0.{number}:5555'


def portal(
    upstreams: int | list[int] = 7,
    draining: tuple[int, ...] = (),
    idle_s: float = IDLE_S,
    buckets: int = 512,
) -> ServiceSpec:
    """Return the specification of the portal service with the given upstreams.

    `upstreams` is their number, or a list of the numbers of their endpoints.
    """
    numbers = range(upstreams) if isinstance(upstreams, int) else upstreams
    return ServiceSpec(
        PORTAL,
        ServiceKind.FLOW,
        '198.51.100.10',
        443,
        tuple(
            UpstreamSpec(endpoint(number), 'dc-a', draining=number in draining)
            for number in numbers
        ),
        idle_s=idle_s,
        buckets=buckets,
    )


def catalogue(generation: int, *services: ServiceSpec) -> Catalogue:
    """Return the catalogue of a text with the given generation and services."""
    return Catalogue(generation, {spec.name: spec for spec in services})


def started_fleet(seed: int = 1, spec: ServiceSpec | None = None) -> tuple[Fleet, FlowTraffic]:
    """Return a ready fleet of nine hosts that serves the portal, and its traffic."""
    service = spec or portal()
    traffic = FlowTraffic(service)
    fleet = Fleet(hosts(), seed, traffic)
    traffic.fleet = fleet
    fleet.submit(catalogue(1, service))
    fleet.run(START_UP_S)
    return fleet, traffic


def lag_views(fleet: Fleet, max_s: float = 2.0) -> None:
    """Delay texts and journals at each balancer by a random time of up to `max_s`."""
    for node in fleet.running:
        node.view_lag_s = fleet.random.random() * max_s


def differing_views(fleet: Fleet) -> list[tuple[str, int]]:
    """Return the balancers and buckets whose register differs from the keeper's."""
    found = []
    for node in fleet.running:
        for table in node.state.steering.tables_by_name.values():
            known = [register for register in table.registers if register is not None]
            found.extend(
                (node.name, register.bucket)
                for register in known
                if register.entry() != _keeper_copy(fleet, node, register).entry()
            )
    return found


def _keeper_copy(fleet: Fleet, node: Node, register: Register) -> Register:
    """Return the register of the balancer that `node` considers its keeper."""
    owner = node.state.steering.owners[register.shard].owner
    steering = fleet.by_name[owner].state.steering
    return steering.register(register.service, register.bucket) or register
