"""Write what commands tell the operator."""

from sys import stderr, stdout


def print_line(message: object = '') -> None:
    """Write a line of result."""
    stdout.write(f'{message}\n')
    stdout.flush()


def print_error(message: object) -> None:
    """Write a line about what went wrong."""
    stderr.write(f'{message}\n')
