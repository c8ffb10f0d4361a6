"""Imports of commands that load large parts of the package.

`magnolia status` answers faster when it does not load the rules compiler,
the stand-ins and the daemon.
"""

import importlib
import pathlib
from typing import Protocol, TextIO, cast


class RulesCommands(Protocol):
    """Functions of `magnoliafork.commands.rules`."""

    def check(self, path: pathlib.Path, output: TextIO, as_json: bool) -> int:
        """Checks a rules file."""
        ...

    def build(
        self,
        path: pathlib.Path,
        out_dir: pathlib.Path,
        version_number: int | None,
        after_path: pathlib.Path | None,
        output: TextIO,
        as_json: bool,
    ) -> int:
        """Writes the parts and the manifest of a rules file."""
        ...

    def diff(
        self,
        old_path: pathlib.Path,
        new_path: pathlib.Path,
        output: TextIO,
        as_json: bool,
    ) -> int:
        """Compares two rules files."""
        ...

    def explain(
        self,
        path: pathlib.Path,
        request: str,
        host: str,
        output: TextIO,
        as_json: bool,
    ) -> int:
        """Tells which route a request takes."""
        ...


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


def rules_commands() -> RulesCommands:
    """Loads the commands for rules files."""
    module = importlib.import_module("magnoliafork.commands.rules")
    return cast(RulesCommands, module)


def demo_commands() -> DemoCommands:
    """Loads the demo."""
    module = importlib.import_module("magnoliafork.commands.demo")
    return cast(DemoCommands, module)


def bench_commands() -> BenchCommands:
    """Loads the bench."""
    module = importlib.import_module("magnoliafork.commands.bench")
    return cast(BenchCommands, module)
