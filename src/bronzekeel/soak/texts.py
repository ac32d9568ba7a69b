"""Write the operators' texts of a soak, and track which routes each allows."""

from time import monotonic
from types import MappingProxyType

from bronzekeel.soak.links import Address, loopback
from bronzekeel.standins.platform import PlatformStandIn


FEEDS: Address = ('198.18.0.1', 8443)
SINGLES: Address = ('198.18.0.1', 443)
SHEETS: Address = ('198.18.0.2', 443)
_SERVICE_BY_ADDRESS = MappingProxyType({FEEDS: 'portal', SINGLES: 'portal', SHEETS: 'intake'})
_CHANGING_PORT = 443

#: Latency objectives in milliseconds; demand is controlled only where they all leave time for it.
_OBJECTIVE_MS_BY_SERVICE = MappingProxyType({'portal': 800, 'intake': 1200})


class Change:
    """An accepted text: the route that it added, the one that it dropped, and the time."""

    __slots__ = ('accepted_at', 'added', 'dropped', 'version')

    def __init__(self, version: int, added: Address, dropped: Address | None) -> None:
        """Record a text accepted now."""
        self.version = version
        self.added = added
        self.dropped = dropped
        self.accepted_at = monotonic()


class Texts:
    """Write texts, each of which adds a route and drops the one that its predecessor added."""

    def __init__(self, store: PlatformStandIn) -> None:
        """Write to `store`."""
        self.changes: list[Change] = []
        self._store = store
        self._version = 0
        self._extra_routes = 0
        self._service_by_address: dict[Address, str] = {}
        self._routes_by_service: dict[str, set[Address]] = {}

    def routes_of(self, service: str) -> set[Address]:
        """Return all addresses that any text so far sent to a service."""
        return self._routes_by_service.setdefault(service, set())

    async def change(self, more_routes: int = 0) -> Change:
        """Put a text in force that differs from its predecessor."""
        self._version += 1 + self._version % 3
        self._extra_routes += more_routes
        added = (loopback('198.20', len(self.changes)), _CHANGING_PORT)
        service_by_address = {**_SERVICE_BY_ADDRESS, added: 'portal'}
        for number in range(self._extra_routes):
            service_by_address[loopback('198.19', number), _CHANGING_PORT] = 'portal'
        for address, service in service_by_address.items():
            self.routes_of(service).add(address)
        self._service_by_address = service_by_address
        self._store.put_text(self._version, service_by_address, _OBJECTIVE_MS_BY_SERVICE)
        dropped = self.changes[-1].added if self.changes else None
        change = Change(self._version, added, dropped)
        self.changes.append(change)
        await self._store.notify_watches()
        return change

    async def rewrite(self) -> None:
        """Write the newest text again unchanged, for a store that has lost it."""
        self._store.put_text(self._version, self._service_by_address, _OBJECTIVE_MS_BY_SERVICE)
        await self._store.notify_watches()
