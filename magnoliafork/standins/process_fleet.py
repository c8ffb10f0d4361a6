"""A deployment whose nodes run as separate processes."""

import asyncio
import pathlib
import random
import signal
import sys
from collections.abc import Iterable

import aiohttp
import yaml

from magnoliafork.standins.deployments import DeploymentSpec
from magnoliafork.standins.fleet import HOST, Fleet

ADMIN_TIMEOUT_S = 1.0
EXIT_TIMEOUT_S = 40.0


class ProcessFleet(Fleet):
    """Runs a node process for each instance; stand-ins stay in this one."""

    def __init__(
        self,
        spec: DeploymentSpec,
        rng: random.Random,
        folder: pathlib.Path,
    ) -> None:
        """Creates a fleet that is not started yet.

        Args:
            spec: The deployment.
            rng: Source of random choices.
            folder: Place for settings files and logs.
        """
        super().__init__(spec, rng)
        self._folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start_node(self, instance_id: str) -> None:
        """Starts the process beside an upstream."""
        path = self._folder / f"{instance_id}.yaml"
        settings = self.settings(instance_id).model_dump(
            mode="json", exclude_none=True
        )
        settings["peers"]["seeds"] = [
            f"{seed['instance_id']}@{seed['host']}:{seed['port']}"
            for seed in settings["peers"]["seeds"]
        ]
        path.write_text(yaml.safe_dump(settings))
        log_path = self._folder / f"{instance_id}.log"
        with log_path.open("ab") as log:
            self.processes[instance_id] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "magnoliafork.daemon",
                "--settings",
                str(path),
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, timeout_s: float = 60.0) -> bool:
        """Waits until all processes serve callers."""
        return await self.wait_instances_ready(self.endpoints, timeout_s)

    async def wait_instances_ready(
        self, instance_ids: Iterable[str], timeout_s: float
    ) -> bool:
        """Waits until some processes serve callers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        async with aiohttp.ClientSession() as session:
            while loop.time() < end_s:
                states = await asyncio.gather(
                    *[self._is_ready(session, key) for key in instance_ids]
                )
                if all(states):
                    return True
                await asyncio.sleep(0.2)
        return False

    def send_signal(self, instance_id: str, number: signal.Signals) -> None:
        """Sends a signal to the process of an instance."""
        self.processes[instance_id].send_signal(number)

    async def exit_code(self, instance_id: str) -> int | None:
        """Waits for the end of a process; None after the time limit."""
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return await self.processes[instance_id].wait()
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Ends all processes that this fleet has started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        await super().stop()

    async def _is_ready(
        self, session: aiohttp.ClientSession, instance_id: str
    ) -> bool:
        port = self.endpoints[instance_id].admin_port
        timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
        try:
            async with session.get(
                f"http://{HOST}:{port}/readyz", timeout=timeout
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
