"""Faults of the links between balancers, their peers, the store, callers and upstreams."""

from abc import abstractmethod

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.hosts import Host
from bronzekeel.soak.links import Link
from bronzekeel.soak.site import CENTRES


_LATE_S = 0.4
_PEERS_LOST_SHARE = 0.2
_PACKETS_LOST_SHARE = 0.1
_IMPAIRED_EVERY = 3


class _HostLinks(Fault):
    """Impair links of some hosts."""

    async def begin(self) -> None:
        """Impair the links of a third of the hosts."""
        count = max(1, len(self.site.hosts) // _IMPAIRED_EVERY)
        self._hosts = self.site.random.sample(self.site.hosts, count)
        for host in self._hosts:
            host.disturbances.begin()
            host.unplanned_disturbances.begin()
            self.impair(host)

    async def end(self) -> None:
        """Repair the links."""
        for host in self._hosts:
            self.repair(host)
            host.disturbances.end()
            host.unplanned_disturbances.end()

    @abstractmethod
    def impair(self, host: Host) -> None:
        """Impair the links of one host."""

    @abstractmethod
    def repair(self, host: Host) -> None:
        """Repair the links of one host."""


class StoreSilentForSome(_HostLinks):
    """The store does not respond to some hosts, but keeps their connections open."""

    kind = 'store_silent_for_some'

    def impair(self, host: Host) -> None:
        """Drop all data."""
        host.store.link.silent = True

    def repair(self, host: Host) -> None:
        """Pass data again, on new connections."""
        host.store.link.silent = False
        host.store.reset()


class StoreRefusesSome(_HostLinks):
    """The store refuses connections of some hosts."""

    kind = 'store_refuses_some'

    def impair(self, host: Host) -> None:
        """Reset open connections, and refuse new ones."""
        host.store.refusing = True
        host.store.reset()

    def repair(self, host: Host) -> None:
        """Accept connections."""
        host.store.refusing = False


class PeersOneWay(_HostLinks):
    """Some hosts receive nothing from their peers, which still receive from them."""

    kind = 'peers_one_way'

    def impair(self, host: Host) -> None:
        """Drop inbound heartbeats and refuse connections."""
        host.heartbeats.inbound.silent = True
        host.views.refusing = True

    def repair(self, host: Host) -> None:
        """Pass inbound traffic."""
        host.heartbeats.inbound.silent = False
        host.views.refusing = False


class PeersLate(_HostLinks):
    """Heartbeats to some hosts are delayed, and some are lost."""

    kind = 'peers_late'

    def impair(self, host: Host) -> None:
        """Delay heartbeats and drop some."""
        host.heartbeats.inbound.delay_s = _LATE_S
        host.heartbeats.inbound.lost_share = _PEERS_LOST_SHARE

    def repair(self, host: Host) -> None:
        """Pass all heartbeats without delay."""
        host.heartbeats.inbound.delay_s = 0
        host.heartbeats.inbound.lost_share = 0


class PacketsLost(_HostLinks):
    """Links between callers, some hosts and upstreams lose packets."""

    kind = 'packets_lost'

    async def begin(self) -> None:
        """Disturb upstreams too, because their flows see the same loss."""
        await super().begin()
        for upstream in self.site.upstreams.values():
            upstream.disturbances.begin()
        self._upstreams = list(self.site.upstreams.values())

    async def end(self) -> None:
        """End the disturbance of upstreams too."""
        await super().end()
        for upstream in self._upstreams:
            upstream.disturbances.end()

    def impair(self, host: Host) -> None:
        """Drop a tenth of the packets in each direction."""
        self.site.fabric.link_by_host[host.name] = Link(lost_share=_PACKETS_LOST_SHARE)
        for upstream in self.site.upstreams.values():
            upstream.link_by_host[host.packets[0]] = Link(lost_share=_PACKETS_LOST_SHARE)

    def repair(self, host: Host) -> None:
        """Drop no packets."""
        self.site.fabric.link_by_host.pop(host.name, None)
        for upstream in self.site.upstreams.values():
            upstream.link_by_host.pop(host.packets[0], None)


class CentreCut(Fault):
    """A data centre is cut off from the others and from the store."""

    kind = 'centre_cut'

    async def begin(self) -> None:
        """Cut heartbeats, views, the store, and packets to upstreams."""
        centre = self.site.random.choice(CENTRES)
        self._inside = [host for host in self.site.hosts if host.data_centre == centre]
        self._outside = [host for host in self.site.hosts if host.data_centre != centre]
        self._upstreams = list(self.site.upstreams.values())
        self._disturbed = self._inside + self._outside
        for host in self._disturbed:
            host.disturbances.begin()
            host.unplanned_disturbances.begin()
        for upstream in self._upstreams:
            upstream.disturbances.begin()
            remote = self._outside if upstream.data_centre == centre else self._inside
            for host in remote:
                upstream.link_by_host[host.packets[0]] = Link(silent=True)
        for receivers, senders in ((self._inside, self._outside), (self._outside, self._inside)):
            for host in receivers:
                for sender in senders:
                    host.heartbeats.link_by_source[sender.peers] = Link(silent=True)
        for host in self._inside:
            host.store.link.silent = True
            host.views.refusing = True

    async def end(self) -> None:
        """Repair all links."""
        for host in self._disturbed:
            host.heartbeats.link_by_source.clear()
            host.store.link.silent = False
            host.store.reset()
            host.views.refusing = False
            host.disturbances.end()
            host.unplanned_disturbances.end()
        for upstream in self._upstreams:
            upstream.link_by_host.clear()
            upstream.disturbances.end()
