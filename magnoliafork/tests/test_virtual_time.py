"""The virtual clock of the tests must advance without waiting."""

import asyncio

from magnoliafork.tests import virtual_time


def test_an_hour_passes_at_once() -> None:
    """Guards against tests that wait in real time."""

    async def wait_an_hour() -> float:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await asyncio.sleep(3600)
        return loop.time() - start_s

    assert virtual_time.run(wait_an_hour()) >= 3600
