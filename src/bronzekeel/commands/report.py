"""Command that reports error-budget burn rates."""

from argparse import ArgumentParser, Namespace
from pathlib import Path

from msgspec.json import encode

from bronzekeel.commands.base import Command, ExitCode
from bronzekeel.commands.output import print_error, print_line
from bronzekeel.report.burn import Burn, Objective, compute_burns
from bronzekeel.report.chart import draw_burn_chart
from bronzekeel.report.outcomes import OutcomesError, read_outcome_lines

_HEADING = f'{"service":24} {"group":12} requests    bad     fast     slow budget left'


class ReportCommand(Command):
    """The `report` command, which shows how fast services burn their error budget."""

    name = 'report'
    summary = 'report error-budget burn rates from recorded outcomes'
    example = 'bronzekeel report outcomes-*.jsonl --target 0.999 --png burn.png'

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the arguments for the recorded outcomes and the options for the objective."""
        parser.add_argument('outcomes', type=Path, nargs='+')
        parser.add_argument('--target', type=float, default=Objective().target)
        parser.add_argument('--fast-s', type=float, default=Objective().fast_s)
        parser.add_argument('--slow-s', type=float, default=Objective().slow_s)
        parser.add_argument('--png', type=Path, metavar='FILE')
        parser.add_argument('--json', action='store_true')

    def run(self, options: Namespace) -> ExitCode:
        """Print a table or JSON, and draw a chart if `--png` is given."""
        if not 0 < options.target < 1:
            print_error('--target: must be between 0 and 1, for example 0.999')
            return ExitCode.USAGE
        objective = Objective(
            options.target,
            fast_s=options.fast_s,
            slow_s=options.slow_s,
        )
        try:
            lines = list(read_outcome_lines(options.outcomes))
        except OutcomesError as fault:
            print_error(fault)
            return ExitCode.REFUSED
        if not lines:
            print_error('no outcomes are recorded; set `outcomes` in the settings')
            return ExitCode.REFUSED
        burns = compute_burns(lines, objective)
        if options.json:
            print_line(encode(burns).decode())
        else:
            _print_table(burns)
        if options.png is not None:
            draw_burn_chart(lines, objective, options.png)
        return ExitCode.DONE


def _print_table(burns: list[Burn]) -> None:
    print_line(_HEADING)
    for burn in burns:
        print_line(
            f'{burn.service:24} {burn.group or "all":12} {burn.requests:8} {burn.bad:6}'
            f' {burn.fast:8.2f} {burn.slow:8.2f} {burn.budget_left:10.1%}',
        )
        for kind, count in sorted(burn.bad_by_kind.items()):
            print_line(f'{"":37} {kind}: {count}')
