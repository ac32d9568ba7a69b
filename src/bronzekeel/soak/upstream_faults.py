"""Strike upstreams and their entries."""

from asyncio import sleep
from time import monotonic

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import INTAKE, PORTAL


#: Seconds after which the address of an upstream that is gone may be used again, and for which
#: one that drains serves on.  Source: the users' `reuseAfterS` and `drainMs`.
_REUSE_DELAY_S = 2.0
_DRAIN_S = 3.5

#: Seconds in which an entry lapses after its upstream fell silent.
_LAPSE_DELAY_S = 2.4
_SLOWDOWN = 10


class UpstreamCrashed(Fault):
    """An upstream crashes; its entry lapses, and another one comes."""

    kind = 'upstream_crash'

    async def begin(self) -> None:
        """Crash it."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.crash()
            await sleep(_LAPSE_DELAY_S)
            await self.site.unlist_upstream(self._upstream)

    async def end(self) -> None:
        """Bring another."""
        if self._upstream is not None:
            self._upstream.close()
            await self.site.add_upstream(PORTAL, self._upstream.data_centre)


class AddressReused(UpstreamCrashed):
    """The address of an upstream that crashed goes to one of another service."""

    kind = 'address_reused'

    async def end(self) -> None:
        """Use it again."""
        if self._upstream is None:
            return
        address = self._upstream.address
        self._upstream.close()
        await sleep(_REUSE_DELAY_S)
        await self.site.add_upstream(INTAKE, self._upstream.data_centre, address)
        await self.site.add_upstream(PORTAL, self._upstream.data_centre)


class UpstreamReplaced(Fault):
    """An upstream drains and leaves, after another one came."""

    kind = 'upstream_release'
    planned = True

    async def begin(self) -> None:
        """Bring another, and announce the leaving."""
        self._upstream = self.pick_upstream()
        if self._upstream is None:
            return
        await self.site.add_upstream(PORTAL, self._upstream.data_centre)
        await self.site.list_upstream(self._upstream, draining=True)
        self._upstream.drained_at = monotonic()

    async def end(self) -> None:
        """Leave."""
        if self._upstream is None:
            return
        await sleep(_DRAIN_S)
        await self.site.unlist_upstream(self._upstream)
        self._upstream.close()


class EntryLapsed(Fault):
    """The entry of an upstream that lives lapses and comes back."""

    kind = 'entry_lapse'

    async def begin(self) -> None:
        """Remove it."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            await self.site.unlist_upstream(self._upstream)

    async def end(self) -> None:
        """Write it again."""
        if self._upstream is not None and self._upstream.alive:
            is_draining = self._upstream.drained_at is not None
            await self.site.list_upstream(self._upstream, draining=is_draining)


class UpstreamSlow(Fault):
    """An upstream works ten times slower."""

    kind = 'upstream_slow'

    async def begin(self) -> None:
        """Slow it down."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.disturbances.begin()
            self._upstream.slowdown = _SLOWDOWN

    async def end(self) -> None:
        """Let it be quick again."""
        if self._upstream is not None:
            self._upstream.slowdown = 1
            self._upstream.disturbances.end()


class UpstreamGrey(Fault):
    """An upstream takes everything and answers nothing."""

    kind = 'upstream_grey'

    async def begin(self) -> None:
        """Turn it grey."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.disturbances.begin()
            self._upstream.grey = True

    async def end(self) -> None:
        """Let it answer."""
        if self._upstream is not None:
            self._upstream.grey = False
            self._upstream.disturbances.end()
