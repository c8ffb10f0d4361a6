"""Deferred imports of the demo and bench, which load the whole package."""

import importlib
from typing import Protocol, TextIO, cast


class DemoCommands(Protocol):
    """Functions of `magnoliafork.commands.demo`."""

    def demo(self, seconds_to_run: float, output: TextIO) -> int:
        """Runs a small fleet."""
        ...


class BenchCommands(Protocol):
    """Functions of `magnoliafork.commands.bench`."""

    def bench(self, is_quick: bool, is_capacity: bool, output: TextIO) -> int:
        """Measures the system."""
        ...


def demo_commands() -> DemoCommands:
    """Loads the demo."""
    module = importlib.import_module("magnoliafork.commands.demo")
    return cast(DemoCommands, module)


def bench_commands() -> BenchCommands:
    """Loads the bench."""
    module = importlib.import_module("magnoliafork.commands.bench")
    return cast(BenchCommands, module)
