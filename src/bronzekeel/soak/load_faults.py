"""Change the operators' configuration and the callers' demand."""

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
        """Change the text once."""
        await self.site.texts.change()
        self.site.update_allowed_routes()


class TextStorm(Fault):
    """Several texts follow in quick succession."""

    kind = 'text_storm'
    planned = True

    async def begin(self) -> None:
        """Change the text five times in half a second."""
        for _ in range(_STORM_TEXTS):
            await self.site.texts.change()
            self.site.update_allowed_routes()
            await sleep(_STORM_INTERVAL_S)


class TextGrown(Fault):
    """The text grows by many routes."""

    kind = 'text_grown'
    planned = True

    async def begin(self) -> None:
        """Add 300 routes."""
        await self.site.texts.change(_ADDED_ROUTES)
        self.site.update_allowed_routes()


class CentreEvacuated(Fault):
    """Operators evacuate a data centre, one at a time."""

    kind = 'evacuation'
    planned = True

    async def begin(self) -> None:
        """Evacuate a random data centre if none is evacuated."""
        self._centre = ''
        if not self.site.evacuated_at_by_centre:
            self._centre = self.site.random.choice(CENTRES)
            await self.site.evacuate(self._centre)

    async def end(self) -> None:
        """End the evacuation."""
        if self._centre:
            await self.site.end_evacuation(self._centre)


class Burst(Fault):
    """Demand rises to four times the normal rate."""

    kind = 'burst'

    async def begin(self) -> None:
        """Raise the demand."""
        self.site.load_disturbances.begin()
        self.site.set_demand(_BURST_FACTOR)

    async def end(self) -> None:
        """Restore the normal demand."""
        self.site.set_demand(1)
        self.site.load_disturbances.end()
