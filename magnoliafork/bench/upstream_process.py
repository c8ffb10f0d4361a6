"""Runs an upstream stand-in as a separate process.

Run it with `python -m magnoliafork.bench.upstream_process PORT`.
"""

import asyncio
import signal
import sys

from magnoliafork.standins.upstream_model import UpstreamBehaviour
from magnoliafork.standins.upstream_server import UpstreamServer

HOST = "127.0.0.1"
SLOTS = 1000
CONNECTIONS = 2000


async def _serve(port: int) -> None:
    # Answers without delay, so that latencies differ only by the path.
    behaviour = UpstreamBehaviour(
        service="orders",
        instance_id="orders-1",
        slots=SLOTS,
        connections=CONNECTIONS,
        service_time_s=0.0,
    )
    upstream = UpstreamServer(behaviour)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await upstream.start(HOST, port)
    await stop.wait()
    await upstream.stop()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1])))
