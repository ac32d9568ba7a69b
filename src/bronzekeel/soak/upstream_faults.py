"""Faults of upstreams and their entries."""

from asyncio import sleep
from time import monotonic

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.site import INTAKE, PORTAL


#: Seconds after which the address of a removed upstream may be reused, and for which a draining
#: upstream keeps serving; the users' `reuseAfterS` and `drainMs`.
_REUSE_DELAY_S = 2.0
_DRAIN_S = 3.5

#: Seconds after which the entry of an upstream that has stopped renewing it lapses.
_LAPSE_DELAY_S = 2.4
_SLOWDOWN = 10


class UpstreamCrashed(Fault):
    """An upstream crashes; its entry lapses, and another upstream replaces it."""

    kind = 'upstream_crash'

    async def begin(self) -> None:
        """Crash the upstream, and remove its entry once that lapses."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.crash()
            await sleep(_LAPSE_DELAY_S)
            await self.site.unlist_upstream(self._upstream)

    async def end(self) -> None:
        """Start a replacement."""
        if self._upstream is not None:
            self._upstream.close()
            await self.site.add_upstream(PORTAL, self._upstream.data_centre)


class AddressReused(UpstreamCrashed):
    """The address of a crashed upstream is reused by an upstream of another service."""

    kind = 'address_reused'

    async def end(self) -> None:
        """Start an upstream of the other service at the address, and a replacement."""
        if self._upstream is None:
            return
        address = self._upstream.address
        self._upstream.close()
        await sleep(_REUSE_DELAY_S)
        await self.site.add_upstream(INTAKE, self._upstream.data_centre, address)
        await self.site.add_upstream(PORTAL, self._upstream.data_centre)


class UpstreamReplaced(Fault):
    """An upstream drains and leaves after its replacement has started."""

    kind = 'upstream_release'
    planned = True

    async def begin(self) -> None:
        """Start a replacement and mark the entry as draining."""
        self._upstream = self.pick_upstream()
        if self._upstream is None:
            return
        await self.site.add_upstream(PORTAL, self._upstream.data_centre)
        await self.site.list_upstream(self._upstream, draining=True)
        self._upstream.drained_at = monotonic()

    async def end(self) -> None:
        """Remove the entry, and stop the upstream."""
        if self._upstream is None:
            return
        await sleep(_DRAIN_S)
        await self.site.unlist_upstream(self._upstream)
        self._upstream.close()


class EntryLapsed(Fault):
    """The entry of a live upstream lapses and is written again."""

    kind = 'entry_lapse'

    async def begin(self) -> None:
        """Remove the entry."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            await self.site.unlist_upstream(self._upstream)

    async def end(self) -> None:
        """Write the entry again."""
        if self._upstream is not None and self._upstream.alive:
            is_draining = self._upstream.drained_at is not None
            await self.site.list_upstream(self._upstream, draining=is_draining)


class UpstreamSlow(Fault):
    """An upstream works ten times slower."""

    kind = 'upstream_slow'

    async def begin(self) -> None:
        """Slow the upstream down."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.disturbances.begin()
            self._upstream.slowdown = _SLOWDOWN

    async def end(self) -> None:
        """Restore its normal speed."""
        if self._upstream is not None:
            self._upstream.slowdown = 1
            self._upstream.disturbances.end()


class UpstreamGrey(Fault):
    """An upstream accepts flows and requests, but answers no request."""

    kind = 'upstream_grey'

    async def begin(self) -> None:
        """Stop answering requests."""
        self._upstream = self.pick_upstream()
        if self._upstream is not None:
            self._upstream.disturbances.begin()
            self._upstream.grey = True

    async def end(self) -> None:
        """Answer requests again."""
        if self._upstream is not None:
            self._upstream.grey = False
            self._upstream.disturbances.end()
