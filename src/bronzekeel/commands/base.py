"""Base class and exit codes of all commands."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from enum import IntEnum
from typing import ClassVar


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


class Command(ABC):
    """One subcommand: its name, help text, example, options and action."""

    name: ClassVar[str]
    summary: ClassVar[str]
    example: ClassVar[str]

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the command's options to its parser."""

    @abstractmethod
    def run(self, options: Namespace) -> ExitCode:
        """Run the command and return the exit code."""
