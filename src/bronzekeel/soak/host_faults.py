"""Faults of balancer processes: signals, changed settings files, additional hosts."""

from asyncio import sleep

from bronzekeel.soak.fault import Fault
from bronzekeel.soak.hosts import RESTART_DELAY_S


class HostKilled(Fault):
    """One host is killed and restarts."""

    kind = 'host_kill'

    async def begin(self) -> None:
        """Kill a random host."""
        self.pick_host().kill()


class AllHostsKilled(Fault):
    """All hosts are killed at once and restart."""

    kind = 'all_kill'

    async def begin(self) -> None:
        """Kill all hosts."""
        for host in self.site.hosts:
            host.kill()


class HostStopped(Fault):
    """One host is stopped gracefully and restarts."""

    kind = 'host_stop'
    planned = True

    async def begin(self) -> None:
        """Stop a random host."""
        self.pick_host().stop()


class AllHostsStopped(Fault):
    """All hosts are stopped gracefully one after another."""

    kind = 'hosts_in_turn'
    planned = True

    async def begin(self) -> None:
        """Stop each host, with time in between to restart."""
        for host in list(self.site.hosts):
            host.stop()
            await sleep(1 + RESTART_DELAY_S)


class HostPaused(Fault):
    """One host is paused."""

    kind = 'host_pause'

    async def begin(self) -> None:
        """Pause a random host."""
        self._host = self.pick_host()
        self._host.pause()

    async def end(self) -> None:
        """Resume the host."""
        self._host.resume()


class SettingsChanged(Fault):
    """Settings files change; only some hosts receive a signal to reload them."""

    kind = 'settings'
    planned = True

    async def begin(self) -> None:
        """Rewrite the files, and signal about half of the hosts."""
        for host in self.site.hosts:
            self.site.write_settings(host)
            if self.site.random.choice((True, False)):
                host.reload()


class HostAdded(Fault):
    """One more host starts."""

    kind = 'host_added'
    planned = True

    async def begin(self) -> None:
        """Start the host."""
        await self.site.add_host()
