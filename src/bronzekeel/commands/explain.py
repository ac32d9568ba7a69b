"""Command that explains the outcome of one flow from collected logs."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from msgspec.json import encode

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line
from bronzekeel.explain.diagnosis import Diagnosis, explain
from bronzekeel.explain.lines import LogLine, read_lines

_HIDDEN_FIELDS = frozenset(('time', 'steady', 'event', 'name', 'host', 'left_out'))


class ExplainCommand(Command):
    """The `explain` command, which prints a flow's log lines and the cause of its outcome."""

    name = 'explain'
    summary = 'explain the outcome of one flow from the logs of many hosts'
    example = "bronzekeel explain '100.64.0.4:1237>198.18.0.15:443' edge-*.log"

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the arguments for the flow and the log files."""
        parser.add_argument('flow', help='CALLER:PORT>ADDRESS:PORT, or a substring of it')
        parser.add_argument('files', nargs='+', type=Path, metavar='FILE')
        parser.add_argument('--json', action='store_true', help='one line of JSON')

    def run(self, options: Namespace) -> ExitCode:
        """Read all files and print the diagnosis; return REFUSED if no line concerns the flow."""
        raw_lines: list[str] = []
        for path in options.files:
            try:
                content = path.read_text(encoding='utf-8', errors='replace')
            except OSError as fault:
                print_error(f'{path}: {fault.strerror}; specify readable log files')
                return ExitCode.USAGE
            raw_lines.extend(content.splitlines())
        diagnosis = explain(options.flow, read_lines(raw_lines))
        print_line(_as_json(diagnosis) if options.json else _as_text(diagnosis))
        return ExitCode.DONE if diagnosis.lines else ExitCode.REFUSED


def _as_json(diagnosis: Diagnosis) -> str:
    lines = [line.fields for line in diagnosis.lines]
    return encode({'flow': diagnosis.flow, 'cause': diagnosis.cause, 'lines': lines}).decode()


def _as_text(diagnosis: Diagnosis) -> str:
    started_at = diagnosis.lines[0].at if diagnosis.lines else 0
    rows = [_row(line, started_at) for line in diagnosis.lines]
    return '\n'.join((*rows, f'cause: {diagnosis.cause}'))


def _row(line: LogLine, started_at: float) -> str:
    fields = ' '.join(
        f'{name}={found}' for name, found in line.fields.items() if name not in _HIDDEN_FIELDS
    )
    return f'{line.at - started_at:+8.3f} s  {line.host}  {line.event.name.lower()}  {fields}'
