"""Change what operators want and what callers ask for."""

from asyncio import sleep

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import CENTRES


_STORM = 5
_STORM_GAP_S = 0.1
_MANY_ROUTES = 300
_BURST = 4


class TextChanged(Fault):
    """The operators' text changes."""

    kind = 'text_change'
    planned = True

    async def begin(self) -> None:
        """Change it once."""
        await self.site.texts.change()
        self.site.allow_routes()


class TextStorm(Fault):
    """Texts come in quick succession."""

    kind = 'text_storm'
    planned = True

    async def begin(self) -> None:
        """Change it five times in half a second."""
        for _ in range(_STORM):
            await self.site.texts.change()
            self.site.allow_routes()
            await sleep(_STORM_GAP_S)


class TextGrown(Fault):
    """The text grows by many routes."""

    kind = 'text_grown'
    planned = True

    async def begin(self) -> None:
        """Add three hundred."""
        await self.site.texts.change(_MANY_ROUTES)
        self.site.allow_routes()


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
            await self.site.take_back(self._centre)


class Burst(Fault):
    """Callers ask for four times as much."""

    kind = 'burst'

    async def begin(self) -> None:
        """Begin."""
        self.site.load_contact.begin()
        self.site.ask_for(_BURST)

    async def end(self) -> None:
        """End."""
        self.site.ask_for(1)
        self.site.load_contact.end()
