"""Strike balancers' processes: signals, settings files, more of them."""

from asyncio import sleep

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.hosts import RESTART_S


class HostKilled(Fault):
    """One host is killed, and starts again."""

    kind = 'host_kill'

    async def begin(self) -> None:
        """Kill it."""
        self.any_host().kill()


class AllKilled(Fault):
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
        self.any_host().stop()


class AllStopped(Fault):
    """All hosts are stopped in turn."""

    kind = 'hosts_in_turn'
    planned = True

    async def begin(self) -> None:
        """Stop one after the other."""
        for host in list(self.site.hosts):
            host.stop()
            await sleep(1 + RESTART_S)


class HostPaused(Fault):
    """One host stands still."""

    kind = 'host_pause'

    async def begin(self) -> None:
        """Pause it."""
        self._host = self.any_host()
        self._host.pause()

    async def end(self) -> None:
        """Let it go on."""
        self._host.go_on()


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
