"""The daemon on the users' platform: one mesh node beside one upstream."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import sys
from collections.abc import Iterator

from magnoliafork.mesh.node import MeshNode
from magnoliafork.mesh.settings import MeshSettings, load
from magnoliafork.model.result import Err
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog, capture_library_logs
from magnoliafork.observe.output import LineOutput
from magnoliafork.platform.header_codec import PlatformHeaderCodec
from magnoliafork.platform.items import decode_item
from magnoliafork.platform.store import PlatformStore

SETTINGS_VARIABLE = "MAGNOLIAFORK_NODE_FILE"
# Log lines of one event in ten seconds: enough to follow single requests, and
# at most a few kilobytes a second in total.
BURST_LINES = 100
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Runs a node until SIGTERM; returns the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        loaded = load(path.read_text("utf-8"))
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if isinstance(loaded, Err):
        for problem in loaded.errors:
            print(f"{path}: {problem}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return asyncio.run(run(loaded.value, path))


async def run(settings: MeshSettings, path: pathlib.Path) -> int:
    """Runs a node until it is asked to stop; returns the exit code."""
    output = LineOutput(sys.stdout.fileno())
    log = EventLog(settings.logs.level, output, burst_lines=BURST_LINES)
    capture_library_logs(log)
    store = PlatformStore(settings.addresses.store)
    node = MeshNode(
        settings,
        store,
        decode_item,
        PlatformHeaderCodec(),
        random.Random(),
        log,
    )
    # Set before the first request can arrive, because the default action of
    # these signals ends the process.
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload, path, log)
    with _stop_signals(node):
        try:
            await node.start()
        except OSError as error:
            print(f"cannot listen: {error}", file=sys.stderr)
            await store.close()
            return EXIT_FAILED
        await node.stop_requested.wait()
        await node.stop()
        await store.close()
    return EXIT_OK


@contextlib.contextmanager
def _stop_signals(node: MeshNode) -> Iterator[None]:
    """Handles the signals that request a stop.

    They are not handled by the loop, which may be busy: the grace period begins
    with the signal.
    """
    numbers = (signal.SIGTERM, signal.SIGINT)
    before = {
        number: signal.signal(number, lambda *_: node.request_stop())
        for number in numbers
    }
    try:
        yield
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def reload(path: pathlib.Path, log: EventLog) -> None:
    """Reads the settings again and applies what can change at run time."""
    try:
        loaded = load(path.read_text("utf-8"))
    except OSError as error:
        log.error(Event.SETTINGS_INVALID, detail=str(error.strerror))
        return
    if isinstance(loaded, Err):
        for problem in loaded.errors:
            log.error(Event.SETTINGS_INVALID, detail=problem)
        return
    log.set_level(loaded.value.logs.level)
    log.info(Event.SETTINGS_RELOADED, level=loaded.value.logs.level)
