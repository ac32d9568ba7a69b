"""Check, compare and submit the operators' text."""

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
    """Return a checked text, or print all its faults and return None."""
    try:
        return parse_text(path.read_bytes())
    except OSError as fault:
        print_error(f'{path}: {fault.strerror}; name a readable file')
    except TextError as fault:
        for line in fault.faults:
            print_error(f'{path}: {line}')
    return None


def _add_platform_option(parser: ArgumentParser) -> None:
    parser.add_argument('--platform', required=True, metavar='URL')


#: Said of a submission that the platform does not know, so far.
_NOT_FOUND = (
    'the platform does not hold this submission: ask once more in a minute, '
    'and if it is still not there, submit the text again'
)


class CheckCommand(Command):
    """Check a text."""

    name = 'check'
    summary = 'check a text and report all faults with their places'
    example = 'bronzekeel check examples/stichting.json'

    def add_options(self, parser: ArgumentParser) -> None:
        """Ask for the text, and the one it follows."""
        parser.add_argument('text', type=Path)
        parser.add_argument('--after', type=Path, metavar='TEXT', help='the text in force')

    def run(self, options: Namespace) -> ExitCode:
        """Check, and check the change where a previous text is given."""
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
        print_line(f'{options.text}: {len(document.services)} services, no fault')
        return ExitCode.DONE


class DiffCommand(Command):
    """Compare two texts."""

    name = 'diff'
    summary = 'compare two texts, or a text with the one in force'
    example = 'bronzekeel diff new.json --platform http://127.0.0.1:9000'

    def add_options(self, parser: ArgumentParser) -> None:
        """Ask for one text and what to compare it with."""
        parser.add_argument('text', type=Path)
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument('--after', type=Path, metavar='TEXT')
        group.add_argument('--platform', metavar='URL')

    def run(self, options: Namespace) -> ExitCode:
        """Print one line a difference."""
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
    """Submit a text."""

    name = 'submit'
    summary = 'submit a text; it is accepted whole or not at all'
    example = 'bronzekeel submit new.json --platform http://127.0.0.1:9000 --based-on 12'

    def add_options(self, parser: ArgumentParser) -> None:
        """Ask for the text or for the submission to settle."""
        group = parser.add_mutually_exclusive_group(required=True)
        group.add_argument('text', type=Path, nargs='?')
        group.add_argument('--settle', metavar='ID', help='find out what became of one')
        parser.add_argument(
            '--based-on',
            type=int,
            metavar='GENERATION',
            help='refuse if another generation is in force',
        )
        _add_platform_option(parser)

    def run(self, options: Namespace) -> ExitCode:
        """Submit or settle, and say what came of it."""
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
            print_error(f'{fault}; name a readable file')
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
