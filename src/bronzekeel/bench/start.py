"""Measure the cost of starting a balancer on the platform, up to its first packet."""

from argparse import ArgumentParser, Namespace
from asyncio import run
from asyncio import to_thread as in_thread
from json import dumps as encode_json
from os import environ, wait4
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, socket
from statistics import median
from subprocess import PIPE, Popen
from sys import executable
from sys import path as module_path
from tempfile import TemporaryDirectory
from time import perf_counter

from msgspec import Struct

from bronzekeel.bench.base import Benchmark
from bronzekeel.standins.echo_packets import SYN, EchoSegment, build_echo
from bronzekeel.standins.entry_settings import loopback_settings
from bronzekeel.standins.platform import PlatformStandIn


_LOOPBACK = '127.0.0.1'
_SERVICE = ('198.51.100.10', 443)
_CODE = (
    'import sys; from bronzekeel.platform.start import serve_on_platform;'
    ' sys.exit(serve_on_platform(sys.argv[1]))'
)
_BARE_CODE = 'import sys; sys.stdout.write("."); sys.stdout.flush(); sys.stdin.read()'
_MAX_ADDED_PROCESSOR_S = 0.1
_MAX_MEMORY_MB = 25
_KILO = 1024
_RETRY_S = 0.01
_MAX_TRIES = 1000


class StartReport(Struct, frozen=True):
    """Medians from exec to the first forwarded packet.

    Processor time and memory are those of the balancer's process, and of a bare
    interpreter that is started alternately with it; `until_forwarded_s` is
    wall-clock time.
    """

    rounds: int
    processor_s: float
    bare_processor_s: float
    added_processor_s: float
    memory_mb: float
    bare_memory_mb: float
    until_forwarded_s: float
    ok: bool


class StartBenchmark(Benchmark):
    """Starts balancers and bare interpreters alternately."""

    name = 'start'
    summary = 'processor time and memory from exec to the first forwarded packet'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the number of rounds."""
        parser.add_argument('--rounds', type=int, default=10)

    def run(self, options: Namespace) -> StartReport:
        """Measure all rounds in a temporary directory."""
        with TemporaryDirectory() as folder:
            return run(_measure(Path(folder), options.rounds))


class _Usage(Struct, frozen=True):
    """Resource usage of one process; `until_forwarded_s` is zero for a bare interpreter."""

    processor_s: float
    memory_mb: float
    until_forwarded_s: float = 0


class _Site:
    """The store, an upstream and a caller that the measured balancers use."""

    def __init__(self) -> None:
        self.store = PlatformStandIn()
        self.upstream = _udp()
        self.caller = _udp()
        self.caller.settimeout(_RETRY_S)
        self.upstream.settimeout(_RETRY_S)

    def fill_store(self) -> None:
        """Store a text with one route, and the entry of its upstream."""
        self.store.put_upstream(1, 'portal', self.upstream.getsockname(), 'dc-a')
        self.store.put_text(1, {_SERVICE: 'portal'})

    def start_and_forward(self, settings: Path, packets: int) -> _Usage:
        """Start a balancer; return its resource usage until its first forwarded packet.

        Packets left over from the previous balancer, which forwards what it had queued at
        once, are discarded first.
        """
        is_left_over = True
        while is_left_over:
            is_left_over = self._is_forwarded()
        started_at = perf_counter()
        process = _start_interpreter(('-c', _CODE, str(settings)))
        opening = build_echo(EchoSegment(self.caller.getsockname(), _SERVICE, SYN))
        for _ in range(_MAX_TRIES):
            self.caller.sendto(opening, (_LOOPBACK, packets))
            if self._is_forwarded():
                break
        return _usage_of(process, perf_counter() - started_at)

    async def close(self) -> None:
        """Close the sockets and the store."""
        self.upstream.close()
        self.caller.close()
        await self.store.close()

    def _is_forwarded(self) -> bool:
        try:
            return bool(self.upstream.recv(_KILO))
        except TimeoutError:
            return False


async def _measure(folder: Path, rounds: int) -> StartReport:
    site = _Site()
    await site.store.open()
    site.fill_store()
    settings = folder / 'settings.json'
    packets = _free_port()
    fields = loopback_settings('edge-1', site.store.port, packets=f'{_LOOPBACK}:{packets}')
    settings.write_text(encode_json(fields))
    balancers = []
    bare = []
    for _ in range(rounds):
        bare.append(await in_thread(_run_bare))
        balancers.append(await in_thread(site.start_and_forward, settings, packets))
    await site.close()
    return _report(balancers, bare)


def _report(balancers: list[_Usage], bare: list[_Usage]) -> StartReport:
    processor_s = median(usage.processor_s for usage in balancers)
    bare_s = median(usage.processor_s for usage in bare)
    memory_mb = median(usage.memory_mb for usage in balancers)
    return StartReport(
        rounds=len(balancers),
        processor_s=round(processor_s, 3),
        bare_processor_s=round(bare_s, 3),
        added_processor_s=round(processor_s - bare_s, 3),
        memory_mb=round(memory_mb, 1),
        bare_memory_mb=round(median(usage.memory_mb for usage in bare), 1),
        until_forwarded_s=round(median(usage.until_forwarded_s for usage in balancers), 3),
        ok=processor_s - bare_s <= _MAX_ADDED_PROCESSOR_S and memory_mb <= _MAX_MEMORY_MB,
    )


def _usage_of(process: Popen[bytes], until_forwarded_s: float = 0) -> _Usage:
    """Return the resource usage of a process, and kill it.

    The peak memory is read while the process runs: the accounting at its end also
    covers the parent's memory, which the process shared until its exec.
    """
    status = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    peak = next(line for line in status.splitlines() if line.startswith('VmHWM'))
    process.kill()
    _, _, usage = wait4(process.pid, 0)
    return _Usage(usage.ru_utime + usage.ru_stime, int(peak.split()[1]) / _KILO, until_forwarded_s)


def _run_bare() -> _Usage:
    process = _start_interpreter(('-c', _BARE_CODE))
    if process.stdout is not None:
        process.stdout.read(1)
        process.stdout.close()
    return _usage_of(process)


def _start_interpreter(arguments: tuple[str, ...]) -> Popen[bytes]:
    """Start an interpreter as the platform does: without ``site``, with PYTHONPATH set."""
    packages = ':'.join(folder for folder in module_path if folder)
    return Popen(
        (executable, '-S', *arguments),
        stdin=PIPE,
        stdout=PIPE,
        env={**environ, 'PYTHONPATH': packages},
    )


def _free_port() -> int:
    with socket(AF_INET, SOCK_DGRAM) as probe:
        probe.bind((_LOOPBACK, 0))
        port: int = probe.getsockname()[1]
    return port


def _udp() -> socket:
    udp_socket = socket(AF_INET, SOCK_DGRAM)
    udp_socket.bind((_LOOPBACK, 0))
    return udp_socket
