"""Strike the store for everybody."""

from abc import abstractmethod
from asyncio import sleep

from bronzekeel.platform.calls import EVACUATIONS_KIND
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import CENTRES
from bronzekeel.standins.store_copy import copy_of, restore


_USUAL_S = 0.002
_SLOW_S = 0.25
_CALLS_LEFT = 3
_LAPSED = 2

#: Seconds for which a store that comes back from a copy is away, and until its owners have written
#: again what it has lost.  Source: the users' drill, and how often their upstreams write.
_AWAY_S = 0.5
_LOST_TEXTS = 5
_WRITTEN_AGAIN_S = 1.2


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


class StoreRestored(_StoreFault):
    """The store comes back from a copy; what was written since the fault began is lost.

    Some texts are among that.  Operators and upstreams write theirs again after a moment, and one
    more text, whose revision is less than hosts knew before.
    """

    kind = 'store_restored'

    async def switch(self, *, on: bool) -> None:
        """Make the copy, or come back from it."""
        store = self.site.store
        if on:
            self._copy = copy_of(store)
            await self._change_texts(_LOST_TEXTS)
            return
        await store.switch(down=True)
        restore(store, self._copy)
        await sleep(_AWAY_S)
        await store.switch(down=False)
        await sleep(_WRITTEN_AGAIN_S)
        await self._write_again()
        await self._change_texts(1)

    async def _change_texts(self, count: int) -> None:
        for _ in range(count):
            await self.site.texts.change()
            self.site.allow_routes()

    async def _write_again(self) -> None:
        await self.site.texts.write_again()
        for upstream in self.site.upstreams.values():
            if upstream.alive:
                leaves = upstream.drained_at is not None
                await self.site.list_upstream(upstream, draining=leaves)
            else:
                await self.site.unlist_upstream(upstream)
        for centre in CENTRES:
            if centre in self.site.evacuated_at_by_centre:
                self.site.store.put_object(EVACUATIONS_KIND, centre, {})
            else:
                self.site.store.remove_object(EVACUATIONS_KIND, centre)
        await self.site.store.notify_watches()
