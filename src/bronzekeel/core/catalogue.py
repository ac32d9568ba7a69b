"""Hold one accepted version of the text in the form decisions need."""

from enum import StrEnum

from msgspec import Struct


class ServiceKind(StrEnum):
    """Tell what a service carries."""

    FLOW = 'flow'
    REQUEST = 'request'


class PolicyPriority(StrEnum):
    """Tell what a service weighs most when its policy has to choose."""

    IMBALANCE = 'imbalance'
    BROKEN_FLOWS = 'broken_flows'


class UpstreamSpec(Struct, frozen=True):
    """Describe one upstream; `endpoint` is ``address:port``."""

    endpoint: str
    data_centre: str
    weight: int = 1
    draining: bool = False
    member: str = ''


class ServiceSpec(Struct, frozen=True):
    """Describe one service; `idle_s` ends a silent flow."""

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
        """Upstreams that may get new work."""
        return [spec for spec in self.upstreams if not spec.draining]


class Catalogue(Struct, frozen=True):
    """Hold all services of one generation of the text."""

    generation: int
    services_by_name: dict[str, ServiceSpec]

    @property
    def required(self) -> frozenset[str]:
        """Names of the services that others depend on."""
        return frozenset(
            name for service in self.services_by_name.values() for name in service.depends_on
        )
