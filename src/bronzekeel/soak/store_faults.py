"""Strike the store for everybody."""

from abc import abstractmethod
from asyncio import sleep

from bronzekeel.soak.fault import Fault


_USUAL_S = 0.002
_SLOW_S = 0.25
_CALLS_LEFT = 3
_LAPSED = 2


class _StoreFault(Fault):
    """Disturb the store for everybody."""

    async def begin(self) -> None:
        """Note it, and strike."""
        self.site.store_contact.begin()
        await self.switch(on=True)

    async def end(self) -> None:
        """Take it back."""
        await self.switch(on=False)
        self.site.store_contact.end()

    @abstractmethod
    async def switch(self, *, on: bool) -> None:
        """Begin or end."""


class StoreDown(_StoreFault):
    """The store answers that it is down; entries of some upstreams lapse meanwhile."""

    kind = 'store_down'

    async def switch(self, *, on: bool) -> None:
        """Go down, or come back with the entries that upstreams write again."""
        if on:
            await self.site.store.switch(down=True)
            self._lapsed = self.site.random.sample(self.site.living(), _LAPSED)
            for upstream in self._lapsed:
                await self.site.unlist_upstream(upstream)
            return
        await self.site.store.switch(down=False)
        await sleep(1)
        for upstream in self._lapsed:
            if upstream.alive:
                await self.site.list_upstream(
                    upstream,
                    draining=upstream.drained_at is not None,
                )


class StoreSlow(_StoreFault):
    """The store takes sixty times as long."""

    kind = 'store_slow'

    async def switch(self, *, on: bool) -> None:
        """Slow down, or be quick again."""
        self.site.store.latency_s = _SLOW_S if on else _USUAL_S


class StoreRefusing(_StoreFault):
    """The store turns away what is beyond its rate."""

    kind = 'store_over_rate'

    async def switch(self, *, on: bool) -> None:
        """Refuse all but a few calls."""
        self.site.store.calls_left = _CALLS_LEFT if on else None


class HistoryDropped(_StoreFault):
    """The store forgets its history; watches must list anew."""

    kind = 'history_dropped'

    async def switch(self, *, on: bool) -> None:
        """Forget."""
        self.site.store.compact()
