"""Command that runs one balancer until it receives SIGTERM or SIGINT."""

from argparse import ArgumentParser, Namespace
from asyncio import Event, get_running_loop, run
from gc import freeze
from pathlib import Path
from signal import SIGINT, SIGTERM

from bronzekeel.balancer.daemon import Balancer
from bronzekeel.balancer.logs import configure
from bronzekeel.balancer.settings import (
    Settings,
    SettingsError,
    read_settings,
    steers_by_connection_ids,
)
from bronzekeel.balancer.web import StatusServer
from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error
from bronzekeel.platform.start import serve_on_platform


class BalancerCommand(Command):
    """The `balancer` command, which runs the daemon."""

    name = 'balancer'
    summary = 'run one balancer; SIGTERM stops it gracefully'
    example = 'bronzekeel balancer --settings examples/settings.json'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the option for the settings file."""
        parser.add_argument('--settings', type=Path, required=True, metavar='FILE')

    def run(self, options: Namespace) -> ExitCode:
        """Run until SIGTERM or SIGINT; the setting `steering` selects which daemon to run."""
        try:
            if steers_by_connection_ids(options.settings):
                return ExitCode(serve_on_platform(str(options.settings)))
            settings = read_settings(options.settings)
        except SettingsError as fault:
            print_error(fault)
            return ExitCode.REFUSED
        try:
            run(_serve(settings))
        except OSError as fault:
            print_error(f'{fault}; free the port or change `ports`')
            return ExitCode.REFUSED
        return ExitCode.DONE


async def _serve(settings: Settings) -> None:
    recent = configure(settings.log_level)
    balancer = Balancer(settings)
    server = StatusServer(balancer, recent)
    await balancer.start()
    await server.open(settings.address, settings.ports.metrics)
    freeze()
    stopping = Event()
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()
    await balancer.stop()
    await server.close()
