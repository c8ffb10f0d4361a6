"""Another writer lists servers under a service that is not configured."""

import asyncio

from mesh import EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN, Mesh, main

from magnoliafork.tests.platform import standins

SERVICE = "orders"
FIRST_ROUTE, LATER_ROUTE = "/browse/", "/desk/"
CONFIG_APPLY_S = 2.0
STABILITY_WINDOW_S = 3.0
TRAFFIC_S = 20.0
CALLS_PER_S = 1.5
MIN_REQUESTS = 20
# Starts of the stand-in servers count from 1; the other writer states its own.
LATER_START = 1000


def write_other_entries(mesh: Mesh) -> None:
    """Writes an entry for the address of each server of one service."""
    for host, (zone, service) in mesh.hosts.items():
        if service == SERVICE:
            mesh.store.put(
                f"servers/inventory-{host}",
                standins.server_entry(
                    host, f"inventory-{service}", zone, starts=LATER_START
                ),
            )
    mesh.note("another writer has written its entries")


async def case(mesh: Mesh, has_trouble: bool) -> int:
    """Runs the case; returns the exit code."""
    beats = asyncio.create_task(mesh.beat())
    if has_trouble:
        write_other_entries(mesh)
    await asyncio.sleep(1.0)
    mesh.publish_configuration(2)
    mesh.note("version 2 acknowledged", adds=LATER_ROUTE)
    await asyncio.sleep(CONFIG_APPLY_S + STABILITY_WINDOW_S)
    end_s = mesh.now_s() + TRAFFIC_S
    await asyncio.gather(
        *[
            mesh.call_regularly(host, route, CALLS_PER_S, end_s)
            for host in mesh.hosts
            for route in (FIRST_ROUTE, LATER_ROUTE)
        ]
    )
    beats.cancel()
    mesh.note("end")

    status_of = {
        e["id"]: e["status"] for e in mesh.record if e["event"] == "answered"
    }
    shares = {}
    for route in (FIRST_ROUTE, LATER_ROUTE):
        statuses = [
            status_of.get(e["id"], 0)
            for e in mesh.record
            if e["event"] == "sent" and e["path"] == route
        ]
        served = statuses.count(200)
        counts = {s: statuses.count(s) for s in sorted(set(statuses))}
        print(f"{route} {served} of {len(statuses)} served, by status {counts}")
        if len(statuses) < MIN_REQUESTS:
            return EXIT_NOT_RUN
        shares[route] = served / len(statuses)
    if not shares[FIRST_ROUTE]:
        return EXIT_NOT_RUN
    is_broken = shares[LATER_ROUTE] < shares[FIRST_ROUTE] / 4
    return EXIT_BROKEN if is_broken else EXIT_HELD


if __name__ == "__main__":
    main(case)
