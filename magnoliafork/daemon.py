"""The daemon `magnoliad`: one node beside one upstream instance."""

import asyncio
import os
import pathlib
import random
import signal
import sys
from typing import Annotated

import typer

from magnoliafork.model.result import Err
from magnoliafork.node import Node
from magnoliafork.observe.logs import EventLog, capture_library_logs
from magnoliafork.settings.load import load
from magnoliafork.settings.model import NodeSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

app = typer.Typer(add_completion=False)


@app.command()
def magnoliad(
    settings: Annotated[
        pathlib.Path, typer.Option(help="YAML file with the settings.")
    ],
) -> None:
    """Runs one node until SIGTERM or SIGINT asks for a planned stop.

    SIGHUP reads the TLS files again.
    """
    try:
        text = settings.read_text("utf-8")
    except OSError as error:
        print(f"{settings}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    loaded = load(text, os.environ)
    if isinstance(loaded, Err):
        for problem in loaded.errors:
            print(f"{settings}: {problem}", file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    raise typer.Exit(asyncio.run(run(loaded.value)))


async def run(settings: NodeSettings) -> int:
    """Runs a node until it is asked to stop; returns the exit code."""
    log = EventLog(settings.logs.level)
    capture_library_logs(log)
    node = Node(settings, random.Random(), log)
    try:
        started = await node.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        await node.close()
        return EXIT_FAILED
    if isinstance(started, Err):
        print(f"tls: {started.errors[0].detail}", file=sys.stderr)
        await node.close()
        return EXIT_BAD_SETTINGS
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.begin_drain)
    loop.add_signal_handler(signal.SIGHUP, node.reload_tls)
    await node.stop_requested.wait()
    await node.stop()
    return EXIT_OK


def main() -> None:
    """Entry point of `magnoliad`."""
    app()


if __name__ == "__main__":
    main()
