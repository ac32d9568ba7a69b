"""Commands that print the status and the recent events of running balancers."""

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
    """Fetch a page from a balancer; on failure print the error and return None."""
    try:
        return run(_get(base_url.rstrip('/') + path))
    except (ClientError, TimeoutError) as fault:
        print_error(f'{base_url}: {fault!r}; check the address and the metrics port')
        return None


class StatusCommand(Command):
    """The `status` command."""

    name = 'status'
    summary = 'show the status of running balancers'
    example = 'bronzekeel status http://127.0.0.1:9100 http://127.0.0.2:9100'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the arguments for the URLs of the balancers."""
        parser.add_argument('balancers', nargs='+', metavar='URL')
        parser.add_argument('--json', action='store_true', help='print the complete status as JSON')

    def run(self, options: Namespace) -> ExitCode:
        """Print one line for each balancer.

        Return UNKNOWN if a balancer does not answer, else REFUSED if one is not ready.
        """
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
    """The `events` command."""

    name = 'events'
    summary = 'show the newest numbered events of a balancer'
    example = 'bronzekeel events http://127.0.0.1:9100'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the argument for the URL of the balancer."""
        parser.add_argument('balancer', metavar='URL')

    def run(self, options: Namespace) -> ExitCode:
        """Print the events as JSON lines."""
        content = _fetch(options.balancer, '/events')
        if content is None:
            return ExitCode.UNKNOWN
        print_line(content.decode().rstrip())
        return ExitCode.DONE
