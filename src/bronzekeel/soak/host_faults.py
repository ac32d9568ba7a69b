"""Strike balancers' processes: signals, settings files, more of them."""

from asyncio import sleep

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.hosts import RESTART_DELAY_S


class HostKilled(Fault):
    """One host is killed, and starts again."""

    kind = 'host_kill'

    async def begin(self) -> None:
        """Kill it."""
        self.pick_host().kill()


class AllHostsKilled(Fault):
    """All hosts are killed at once."""

    kind = 'all_kill'

    async def begin(self) -> None:
        """Kill them."""
        for host in self.site.hosts:
            host.kill()


class HostStopped(Fault):
    """One host is stopped in the planned way, and starts again."""

    kind = 'host_stop'
    planned = True

    async def begin(self) -> None:
        """Stop it."""
        self.pick_host().stop()


class AllHostsStopped(Fault):
    """All hosts are stopped in turn."""

    kind = 'hosts_in_turn'
    planned = True

    async def begin(self) -> None:
        """Stop one after the other."""
        for host in list(self.site.hosts):
            host.stop()
            await sleep(1 + RESTART_DELAY_S)


class HostPaused(Fault):
    """One host stands still."""

    kind = 'host_pause'

    async def begin(self) -> None:
        """Pause it."""
        self._host = self.pick_host()
        self._host.pause()

    async def end(self) -> None:
        """Let it go on."""
        self._host.resume()


class SettingsChanged(Fault):
    """Settings files change, with signals and without."""

    kind = 'settings'
    planned = True

    async def begin(self) -> None:
        """Write them anew, and tell half of the hosts."""
        for host in self.site.hosts:
            self.site.write_settings(host)
            if self.site.random.choice((True, False)):
                host.reload()


class HostAdded(Fault):
    """One more host starts."""

    kind = 'host_added'
    planned = True

    async def begin(self) -> None:
        """Start it."""
        await self.site.add_host()
