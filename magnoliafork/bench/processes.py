"""Child processes of a measurement; ends only those that it started."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
from collections.abc import Callable
from types import TracebackType
from typing import Self

STOP_TIMEOUT_S = 5.0
POLL_S = 0.05
_SHOWN_LOG_BYTES = 2000


class Processes:
    """Context that runs Python modules as processes and ends them on exit.

    Attributes:
        folder: Temporary folder for settings and logs of the processes.
    """

    def __init__(self) -> None:
        """Creates the temporary folder; nothing runs yet."""
        self._temporary = tempfile.TemporaryDirectory(prefix="magnolia-bench-")
        self.folder = pathlib.Path(self._temporary.name)
        self._running: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Self:
        """Returns the processes."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ends every process that was started and removes the folder."""
        for process in self._running:
            process.terminate()
        for process in self._running:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._temporary.cleanup()

    def start(self, module: str, *arguments: str) -> None:
        """Starts `python -m module` with its output in a log file."""
        log = self.folder / f"process-{len(self._running)}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._running.append(process)

    async def wait_until(
        self, condition: Callable[[], object], timeout_s: float
    ) -> None:
        """Waits until a condition holds.

        Raises:
            RuntimeError: A process ended or the time limit passed.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not condition():
            if any(process.poll() is not None for process in self._running):
                raise RuntimeError(f"a process ended: {self._logs()}")
            if loop.time() >= end_s:
                raise RuntimeError(f"not ready in time: {self._logs()}")
            await asyncio.sleep(POLL_S)

    def _logs(self) -> str:
        texts = [
            path.read_bytes()[-_SHOWN_LOG_BYTES:].decode(errors="replace")
            for path in sorted(self.folder.glob("*.log"))
        ]
        return "\n".join(texts)
