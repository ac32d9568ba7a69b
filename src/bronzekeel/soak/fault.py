"""Define the base class of faults."""

from abc import ABC, abstractmethod
from asyncio import sleep
from typing import ClassVar

from bronzekeel.soak.hosts import Host
from bronzekeel.soak.site import PORTAL, Site
from bronzekeel.soak.upstreams import Upstream


#: Upstreams of a service that must remain after a fault.
_MIN_REMAINING = 2


class Fault(ABC):
    """A fault that lasts `for_s` seconds."""

    kind: ClassVar[str]
    planned: ClassVar[bool] = False

    def __init__(self, site: Site, for_s: float) -> None:
        """Prepare the fault; its targets are chosen when it begins."""
        self.site = site
        self.for_s = for_s

    async def run(self) -> None:
        """Begin the fault, wait, and end it."""
        await self.begin()
        await sleep(self.for_s)
        await self.end()

    @abstractmethod
    async def begin(self) -> None:
        """Inject the fault."""

    async def end(self) -> None:
        """Revert the fault."""

    def pick_host(self) -> Host:
        """Return a random host."""
        return self.site.random.choice(self.site.hosts)

    def pick_upstream(self, service: str = PORTAL) -> Upstream | None:
        """Return a random upstream that the service can lose, or None if there is none."""
        available = self.site.available(service)
        return self.site.random.choice(available) if len(available) > _MIN_REMAINING else None
