"""Output of commands to the operator."""

from sys import stderr, stdout


def print_line(message: object = '') -> None:
    """Write one line of the result to standard output."""
    stdout.write(f'{message}\n')
    stdout.flush()


def print_error(message: object) -> None:
    """Write one line about an error to standard error."""
    stderr.write(f'{message}\n')
