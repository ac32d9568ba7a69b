"""Faults of the store that affect all its clients."""

from abc import abstractmethod
from asyncio import sleep

from bronzekeel.platform.calls import EVACUATIONS_KIND
from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import CENTRES
from bronzekeel.standins.store_copy import copy_of, restore


_NORMAL_LATENCY_S = 0.002
_SLOW_LATENCY_S = 0.25
_ALLOWED_CALLS = 3
_LAPSED_ENTRIES = 2

#: Seconds that a restored store is unavailable, as in the users' drill, and seconds until the
#: owners of its objects have written lost ones again, as often as the users' upstreams write.
_OUTAGE_S = 0.5
_LOST_TEXTS = 5
_REWRITE_DELAY_S = 1.2


class _StoreFault(Fault):
    """Disturb the store for all its clients."""

    async def begin(self) -> None:
        """Record the disturbance and inject the fault."""
        self.site.store_disturbances.begin()
        await self.switch(on=True)

    async def end(self) -> None:
        """Revert the fault and record the end of the disturbance."""
        await self.switch(on=False)
        self.site.store_disturbances.end()

    @abstractmethod
    async def switch(self, *, on: bool) -> None:
        """Inject or revert the fault."""


class StoreDown(_StoreFault):
    """The store answers that it is down; in the meantime entries of some upstreams lapse."""

    kind = 'store_down'

    async def switch(self, *, on: bool) -> None:
        """Take the store down, or bring it back and write the lapsed entries again."""
        if on:
            await self.site.store.switch(down=True)
            self._lapsed = self.site.random.sample(self.site.available(), _LAPSED_ENTRIES)
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
    """Calls to the store take more than a hundred times as long."""

    kind = 'store_slow'

    async def switch(self, *, on: bool) -> None:
        """Set a high or the normal latency."""
        self.site.store.latency_s = _SLOW_LATENCY_S if on else _NORMAL_LATENCY_S


class StoreRateLimited(_StoreFault):
    """The store refuses calls above its rate limit."""

    kind = 'store_over_rate'

    async def switch(self, *, on: bool) -> None:
        """Refuse all but a few calls, or none."""
        self.site.store.calls_left = _ALLOWED_CALLS if on else None


class HistoryDropped(_StoreFault):
    """The store discards its history, so that watches must list again."""

    kind = 'history_dropped'

    async def switch(self, *, on: bool) -> None:
        """Discard the history."""
        self.site.store.compact()


class StoreRestored(_StoreFault):
    """The store is restored from a backup, and what was written since the fault began is lost.

    The lost writes include some texts. After a moment, operators and upstreams write their objects
    again. Then one more text follows, with a revision below those that the hosts have seen.
    """

    kind = 'store_restored'

    async def switch(self, *, on: bool) -> None:
        """Make the backup, or restore it."""
        store = self.site.store
        if on:
            self._copy = copy_of(store)
            await self._change_texts(_LOST_TEXTS)
            return
        await store.switch(down=True)
        restore(store, self._copy)
        await sleep(_OUTAGE_S)
        await store.switch(down=False)
        await sleep(_REWRITE_DELAY_S)
        await self._rewrite_all()
        await self._change_texts(1)

    async def _change_texts(self, count: int) -> None:
        for _ in range(count):
            await self.site.texts.change()
            self.site.update_allowed_routes()

    async def _rewrite_all(self) -> None:
        await self.site.texts.rewrite()
        for upstream in self.site.upstreams.values():
            if upstream.alive:
                is_draining = upstream.drained_at is not None
                await self.site.list_upstream(upstream, draining=is_draining)
            else:
                await self.site.unlist_upstream(upstream)
        for centre in CENTRES:
            if centre in self.site.evacuated_at_by_centre:
                self.site.store.put_object(EVACUATIONS_KIND, centre, {})
            else:
                self.site.store.remove_object(EVACUATIONS_KIND, centre)
        await self.site.store.notify_watches()
