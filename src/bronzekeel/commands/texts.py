"""Commands that check, compare and submit the operators' text."""

from argparse import ArgumentParser, Namespace
from asyncio import run
from pathlib import Path
from uuid import uuid4

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line
from bronzekeel.platform.client import PlatformClient
from bronzekeel.text.checks import check_change, parse_text
from bronzekeel.text.differences import differences
from bronzekeel.text.faults import TextError
from bronzekeel.text.model import Document
from bronzekeel.text.submission import (
    Accepted,
    Conflict,
    StoreLost,
    StoreRefused,
    Undecided,
    load_text,
    read_head,
    settle,
    submit,
)


def _read_text(path: Path) -> Document | None:
    """Read and check a text; on failure print all errors and return None."""
    try:
        return parse_text(path.read_bytes())
    except OSError as fault:
        print_error(f'{path}: {fault.strerror}; specify a readable file')
    except TextError as fault:
        for line in fault.faults:
            print_error(f'{path}: {line}')
    return None


def _add_platform_option(parser: ArgumentParser) -> None:
    parser.add_argument('--platform', required=True, metavar='URL')


#: Remedy for a submission that the platform does not know yet.
_NOT_FOUND = (
    'the platform does not have this submission: query it again in a minute, '
    'and if it is still missing, submit the text again'
)


class CheckCommand(Command):
    """The `check` command."""

    name = 'check'
    summary = 'check a text and report all errors with their locations'
    example = 'bronzekeel check examples/stichting.json'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the argument for the text and the option for the text that it replaces."""
        parser.add_argument('text', type=Path)
        parser.add_argument('--after', type=Path, metavar='TEXT', help='the text that is in force')

    def run(self, options: Namespace) -> ExitCode:
        """Check the text, and the change from the previous text if one is given."""
        document = _read_text(options.text)
        if document is None:
            return ExitCode.REFUSED
        if options.after is not None:
            previous = _read_text(options.after)
            if previous is None:
                return ExitCode.REFUSED
            try:
                check_change(previous, document)
            except TextError as fault:
                print_error(fault)
                return ExitCode.REFUSED
        print_line(f'{options.text}: {len(document.services)} services, no errors')
        return ExitCode.DONE


class DiffCommand(Command):
    """The `diff` command."""

    name = 'diff'
    summary = 'compare two texts, or a text with the one in force'
    example = 'bronzekeel diff new.json --platform http://127.0.0.1:9000'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the arguments for the text and for the text or platform to compare it with."""
        parser.add_argument('text', type=Path)
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument('--after', type=Path, metavar='TEXT')
        group.add_argument('--platform', metavar='URL')

    def run(self, options: Namespace) -> ExitCode:
        """Print one line per difference."""
        proposed = _read_text(options.text)
        if proposed is None:
            return ExitCode.REFUSED
        previous: Document | None
        if options.after is None:
            try:
                previous = run(_load_text_in_force(options.platform))
            except (StoreLost, StoreRefused) as fault:
                print_error(fault)
                return ExitCode.UNKNOWN
        else:
            previous = _read_text(options.after)
        if previous is None:
            return ExitCode.REFUSED
        for line in differences(previous, proposed):
            print_line(line)
        return ExitCode.DONE


async def _load_text_in_force(url: str) -> Document:
    async with PlatformClient(url) as client:
        _, head = await read_head(client)
        if head is None:
            return Document({})
        return parse_text(await load_text(client, head))


class SubmitCommand(Command):
    """The `submit` command."""

    name = 'submit'
    summary = 'submit a text; it is accepted atomically or rejected'
    example = 'bronzekeel submit new.json --platform http://127.0.0.1:9000 --based-on 12'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the argument for the text or the id of the submission to settle."""
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument('text', type=Path, nargs='?')
        group.add_argument(
            '--settle', metavar='ID', help='determine the outcome of an earlier submission'
        )
        parser.add_argument(
            '--based-on',
            type=int,
            metavar='GENERATION',
            help='refuse if another generation is in force',
        )
        _add_platform_option(parser)

    def run(self, options: Namespace) -> ExitCode:
        """Submit a text or settle a submission, and print the outcome."""
        submission = options.settle or uuid4().hex
        try:
            outcome = run(_submit(options, submission))
        except TextError as fault:
            print_error(fault)
            return ExitCode.REFUSED
        except (StoreRefused, StoreLost) as fault:
            print_error(f'not submitted: {fault}; submit again')
            return ExitCode.REFUSED
        except OSError as fault:
            print_error(f'{fault}; specify a readable file')
            return ExitCode.REFUSED
        if isinstance(outcome, Accepted):
            print_line(f'accepted as generation {outcome.generation} (submission {submission})')
            return ExitCode.DONE
        if isinstance(outcome, Conflict):
            print_line(f'conflict: generation {outcome.generation} is in force and differs:')
            for line in outcome.differences:
                print_line(f'  {line}')
            print_line(outcome.remedy)
            return ExitCode.REFUSED
        remedy = _NOT_FOUND if options.settle else outcome.remedy
        print_error(f'outcome unknown; {remedy}')
        return ExitCode.UNKNOWN


async def _submit(options: Namespace, submission: str) -> Accepted | Conflict | Undecided:
    async with PlatformClient(options.platform) as client:
        if options.settle:
            return await settle(client, submission)
        body = options.text.read_bytes()
        return await submit(client, body, submission, options.based_on)
