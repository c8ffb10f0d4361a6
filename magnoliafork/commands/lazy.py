"""Deferred imports of commands that load large parts of the package."""

import importlib
import pathlib
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


class ConfigCommands(Protocol):
    """Functions of `magnoliafork.commands.config_check`."""

    def check_config(
        self,
        path: pathlib.Path,
        against: str,
        output: TextIO,
        *,
        as_json: bool,
    ) -> int:
        """Checks a configuration."""
        ...


def config_commands() -> ConfigCommands:
    """Loads the check of configurations."""
    module = importlib.import_module("magnoliafork.commands.config_check")
    return cast(ConfigCommands, module)


def demo_commands() -> DemoCommands:
    """Loads the demo."""
    module = importlib.import_module("magnoliafork.commands.demo")
    return cast(DemoCommands, module)


def bench_commands() -> BenchCommands:
    """Loads the bench."""
    module = importlib.import_module("magnoliafork.commands.bench")
    return cast(BenchCommands, module)
