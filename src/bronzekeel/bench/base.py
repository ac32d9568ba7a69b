"""Base class of the benchmarks."""

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from typing import ClassVar

from msgspec import Struct


class Benchmark(ABC):
    """One benchmark: a subcommand of `bench` with its options."""

    name: ClassVar[str]
    summary: ClassVar[str]

    def add_options(self, parser: ArgumentParser) -> None:
        """Add the benchmark's options."""

    @abstractmethod
    def run(self, options: Namespace) -> Struct:
        """Run the benchmark and return its report, whose field `ok` is false on a failed target."""
