"""Model the services and upstreams of one accepted generation of the text."""

from enum import StrEnum

from msgspec import Struct


class ServiceKind(StrEnum):
    """Kind of traffic that a service carries."""

    FLOW = 'flow'
    REQUEST = 'request'


class PolicyPriority(StrEnum):
    """Cost that a service's balancing policy minimises first."""

    IMBALANCE = 'imbalance'
    BROKEN_FLOWS = 'broken_flows'


class UpstreamSpec(Struct, frozen=True):
    """Upstream of a service; `endpoint` is ``address:port``."""

    endpoint: str
    data_centre: str
    weight: int = 1
    draining: bool = False
    member: str = ''


class ServiceSpec(Struct, frozen=True):
    """Service of the text; a flow without packets for `idle_s` seconds has ended."""

    name: str
    kind: ServiceKind
    address: str
    port: int
    upstreams: tuple[UpstreamSpec, ...]
    idempotent: bool = False
    idle_s: float = 120.0
    buckets: int = 512
    slots: int = 3
    weighs: PolicyPriority = PolicyPriority.IMBALANCE
    depends_on: tuple[str, ...] = ()

    @property
    def active(self) -> list[UpstreamSpec]:
        """Upstreams that are not draining and may receive new flows or requests."""
        return [spec for spec in self.upstreams if not spec.draining]


class Catalogue(Struct, frozen=True):
    """All services of one generation of the text."""

    generation: int
    services_by_name: dict[str, ServiceSpec]

    @property
    def required(self) -> frozenset[str]:
        """Names of the services that other services depend on."""
        return frozenset(
            name for service in self.services_by_name.values() for name in service.depends_on
        )
