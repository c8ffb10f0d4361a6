"""A server that drains loses the answer of a long request."""

import asyncio

import aiohttp
from mesh import EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, Mesh, main

DRAIN_TIMEOUT_S = 2.0
# Long requests begin this long before the server reports that it drains.
BEGUN_BEFORE_S = 0.3
WORK_MS = 2700


async def case(mesh: Mesh, has_trouble: bool) -> int:
    """Runs the case; returns the exit code."""
    host = next(h for h, (_, s) in mesh.hosts.items() if s == "catalogue")
    server = mesh.servers[host]
    beats = asyncio.create_task(mesh.beat())
    async with aiohttp.ClientSession() as http:
        # Callers of this machine use its server and open its connections.
        for _ in range(20):
            await mesh.call(http, host, "/browse/?work_ms=20")
            await asyncio.sleep(0.05)
        # The machines are in touch and the server is warm.
        await asyncio.sleep(4.0)
        await asyncio.gather(
            *[mesh.call(http, host, "/browse/?work_ms=50") for _ in range(4)]
        )
        long_calls = [
            asyncio.create_task(
                mesh.call(http, host, f"/browse/?work_ms={WORK_MS}", 8.0)
            )
            for _ in range(3)
        ]
        await asyncio.sleep(BEGUN_BEFORE_S)
        mesh.draining.add(host)
        mesh.write_servers()
        acknowledged_s = mesh.note("draining acknowledged", server=host)["at_s"]
        await asyncio.sleep(DRAIN_TIMEOUT_S)
        if has_trouble:
            server.lost_share = 1.0
            mesh.note("the server loses its answers", server=host)
        await asyncio.gather(*long_calls)
    beats.cancel()
    mesh.note("end")

    arrivals = [
        e
        for e in mesh.record
        if e["event"] == "arrived" and e["server"] == server.server_id
    ]
    before = [e for e in arrivals if e["at_s"] < acknowledged_s]
    late = [e for e in arrivals if e["at_s"] > acknowledged_s + DRAIN_TIMEOUT_S]
    for e in late:
        print(
            f"{e['id']} reached {server.server_id}"
            f" {e['at_s'] - acknowledged_s:.3f} s after the acknowledgement"
        )
    print(f"{len(before)} requests before it, {len(late)} too late")
    if not before:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if late else EXIT_HELD


if __name__ == "__main__":
    main(case)
