"""Define what every fault has."""

from abc import ABC, abstractmethod
from asyncio import sleep
from typing import ClassVar

from bronzekeel.soak.hosts import Host
from bronzekeel.soak.site import PORTAL, Site
from bronzekeel.soak.upstreams import Upstream


#: Upstreams of a service that are left at least.
_MIN_REMAINING = 2


class Fault(ABC):
    """Hold one fault; `for_s` is how long it lasts."""

    kind: ClassVar[str]
    planned: ClassVar[bool] = False

    def __init__(self, site: Site, for_s: float) -> None:
        """Choose what it strikes when it begins."""
        self.site = site
        self.for_s = for_s

    async def run(self) -> None:
        """Begin, last, and end."""
        await self.begin()
        await sleep(self.for_s)
        await self.end()

    @abstractmethod
    async def begin(self) -> None:
        """Strike."""

    async def end(self) -> None:
        """Take it back."""

    def pick_host(self) -> Host:
        """Return any host."""
        return self.site.random.choice(self.site.hosts)

    def pick_upstream(self, service: str = PORTAL) -> Upstream | None:
        """Return an upstream whose loss the others can bear, None if there is none."""
        available = self.site.available(service)
        return self.site.random.choice(available) if len(available) > _MIN_REMAINING else None
