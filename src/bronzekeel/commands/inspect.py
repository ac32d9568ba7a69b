"""Show a running balancer's status and recent events."""

from argparse import ArgumentParser, Namespace
from asyncio import run

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode
from msgspec.json import format as pretty

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line

_TIMEOUT_S = 5.0


async def _get(url: str) -> bytes:
    async with ClientSession(timeout=ClientTimeout(total=_TIMEOUT_S)) as session:
        async with session.get(url) as reply:
            reply.raise_for_status()
            return await reply.read()


def _fetch(base_url: str, path: str) -> bytes | None:
    """Return a page of a balancer, or say why there is none."""
    try:
        return run(_get(base_url.rstrip('/') + path))
    except (ClientError, TimeoutError) as fault:
        print_error(f'{base_url}: {fault!r}; name the address and metrics port')
        return None


class StatusCommand(Command):
    """Show status."""

    name = 'status'
    summary = 'show what balancers say of themselves'
    example = 'bronzekeel status http://127.0.0.1:9100 http://127.0.0.2:9100'

    def add_options(self, parser: ArgumentParser) -> None:
        """Ask for the balancers."""
        parser.add_argument('balancers', nargs='+', metavar='URL')
        parser.add_argument('--json', action='store_true', help='print all that is known')

    def run(self, options: Namespace) -> ExitCode:
        """Print a line for each balancer; refuse if one is not ready."""
        code = ExitCode.DONE
        for base_url in options.balancers:
            content = _fetch(base_url, '/status')
            if content is None:
                code = ExitCode.UNKNOWN
                continue
            if options.json:
                print_line(pretty(content).decode())
                continue
            status = decode(content)
            readiness = 'ready' if status['ready'] else 'not ready'
            print_line(
                f'{status["name"]:20} {readiness:10} text {status["generation"]}'
                f'  keeps {status["shards_kept"]} shards'
                f'  unsettled {status["buckets_unsettled"]}',
            )
            if not status['ready'] and code is ExitCode.DONE:
                code = ExitCode.REFUSED
        return code


class EventsCommand(Command):
    """Show recent events."""

    name = 'events'
    summary = 'show the newest numbered events of a balancer'
    example = 'bronzekeel events http://127.0.0.1:9100'

    def add_options(self, parser: ArgumentParser) -> None:
        """Ask for the balancer."""
        parser.add_argument('balancer', metavar='URL')

    def run(self, options: Namespace) -> ExitCode:
        """Print the events as JSON lines."""
        content = _fetch(options.balancer, '/events')
        if content is None:
            return ExitCode.UNKNOWN
        print_line(content.decode().rstrip())
        return ExitCode.DONE
