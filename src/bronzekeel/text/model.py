"""Define the schema of the operators' text, a JSON document.

msgspec validates types and ranges; ``bronzekeel.text.checks`` validates the rest.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct


_Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
MAX_PORT = 65535
_MAX_IDLE_S = 86400
_MIN_BUCKETS = 16
_MAX_BUCKETS = 65536
_Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
_Positive = Annotated[int, Meta(ge=1, le=1000)]


class UpstreamText(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one upstream; `address` has the form ``IP:port``."""

    address: str
    weight: _Positive = 1
    state: Literal['active', 'draining'] = 'active'
    member: str = ''


class ServiceText(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one service with its upstreams by data centre."""

    kind: Literal['flow', 'request']
    address: str
    port: _Port
    upstreams: dict[_Name, tuple[UpstreamText, ...]]
    protocol: Literal['tcp'] = 'tcp'
    idempotent: bool = False
    idle_s: Annotated[float, Meta(ge=1, le=_MAX_IDLE_S)] = 120
    buckets: Annotated[int, Meta(ge=_MIN_BUCKETS, le=_MAX_BUCKETS)] = 512
    slots: _Positive = 3
    weighs: Literal['imbalance', 'broken_flows'] = 'imbalance'
    depends_on: tuple[_Name, ...] = ()


class Document(Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the whole text: services by name, and a remark by the operators."""

    services: dict[_Name, ServiceText]
    remark: str = ''
