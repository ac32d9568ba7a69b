"""Change what operators want and what callers ask for."""

from asyncio import sleep

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import CENTRES


_STORM_TEXTS = 5
_STORM_INTERVAL_S = 0.1
_ADDED_ROUTES = 300
_BURST_FACTOR = 4


class TextChanged(Fault):
    """The operators' text changes."""

    kind = 'text_change'
    planned = True

    async def begin(self) -> None:
        """Change it once."""
        await self.site.texts.change()
        self.site.update_allowed_routes()


class TextStorm(Fault):
    """Texts come in quick succession."""

    kind = 'text_storm'
    planned = True

    async def begin(self) -> None:
        """Change it five times in half a second."""
        for _ in range(_STORM_TEXTS):
            await self.site.texts.change()
            self.site.update_allowed_routes()
            await sleep(_STORM_INTERVAL_S)


class TextGrown(Fault):
    """The text grows by many routes."""

    kind = 'text_grown'
    planned = True

    async def begin(self) -> None:
        """Add three hundred."""
        await self.site.texts.change(_ADDED_ROUTES)
        self.site.update_allowed_routes()


class CentreEvacuated(Fault):
    """Operators evacuate a data centre, one at a time."""

    kind = 'evacuation'
    planned = True

    async def begin(self) -> None:
        """Evacuate one, if none is."""
        self._centre = ''
        if not self.site.evacuated_at_by_centre:
            self._centre = self.site.random.choice(CENTRES)
            await self.site.evacuate(self._centre)

    async def end(self) -> None:
        """Take it back."""
        if self._centre:
            await self.site.end_evacuation(self._centre)


class Burst(Fault):
    """Callers ask for four times as much."""

    kind = 'burst'

    async def begin(self) -> None:
        """Begin."""
        self.site.load_disturbances.begin()
        self.site.set_demand(_BURST_FACTOR)

    async def end(self) -> None:
        """End."""
        self.site.set_demand(1)
        self.site.load_disturbances.end()
