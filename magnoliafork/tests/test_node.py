"""Whole nodes over loopback: what callers and operators see."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from magnoliafork.standins import audit
from magnoliafork.standins.deployments import LANAUDIERE
from magnoliafork.standins.fleet import Fleet
from magnoliafork.standins.load_generator import Callers
from magnoliafork.tests import virtual_time

SPEC = dataclasses.replace(
    LANAUDIERE,
    services=("commissions",),
    patterns=tuple(
        pattern
        for pattern in LANAUDIERE.patterns
        if pattern.path.startswith(("/commissions", "/payments"))
    ),
    rules="\n".join(
        line
        for line in LANAUDIERE.rules.splitlines()
        if line.startswith("zone ") or "commissions" in line
    ),
)


def _run(test: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        fleet = Fleet(SPEC, random.Random(5), log_level="info")
        try:
            await fleet.start()
            assert await fleet.wait_ready()
            await test(fleet)
        finally:
            await fleet.stop()

    virtual_time.run(main())


def _events(fleet: Fleet, instance_id: str) -> list[str]:
    lines = fleet.logs[instance_id].getvalue().splitlines()
    return [json.loads(line)["event"] for line in lines]


def test_zone_move_and_planned_stop_lose_no_request() -> None:
    """Guards against requests lost or run twice in a zone move or a stop.

    Checks the invariants I5, I7, I8 and I10 on whole nodes.
    """

    async def check(fleet: Fleet) -> None:
        loop = asyncio.get_running_loop()
        callers = Callers(SPEC.patterns, 20.0, random.Random(6))
        callers.targets = [
            site.url
            for key, site in fleet.endpoints.items()
            if key != "commissions-1"
        ]
        load = asyncio.create_task(callers.run_until(loop.time() + 16.0))
        await asyncio.sleep(2.0)
        out = fleet.publish(SPEC.rules.replace("rawdon ", "rawdon out ", 1))
        accepted_s = loop.time()
        assert await fleet.wait_applied(out, 16.0) is not None
        await asyncio.sleep(6.0)
        cut = await fleet.nodes["commissions-1"].stop()
        back = fleet.publish(SPEC.rules)
        returned_s = loop.time()
        del fleet.nodes["commissions-1"]
        assert await fleet.wait_applied(back, 16.0) is not None
        await load
        runs = [run for up in fleet.upstreams.values() for run in up.runs]
        outage = audit.ZoneOutage(accepted_s, returned_s)
        zone_runs = fleet.upstreams["commissions-2"].runs
        assert cut == 0
        assert audit.count_new_work(zone_runs, outage) == 0
        assert audit.audit_requests(callers.records, runs) == (
            audit.RequestAudit(0, 0, 0, 0)
        )
        assert callers.counts()["failed"] == 0
        assert callers.counts()["unknown"] == 0
        assert audit.count_reverted(fleet.applied) == 0

    _run(check)


def test_changes_are_logged_once() -> None:
    """Guards against changes that are not logged, or logged repeatedly."""

    async def check(fleet: Fleet) -> None:
        fleet.publish(SPEC.rules.replace("rawdon ", "rawdon out ", 1))
        await asyncio.sleep(3.0)
        await fleet.source.set_down(True)
        await fleet.nodes["commissions-3"].stop()
        await asyncio.sleep(60.0)
        events = _events(fleet, "commissions-1")
        for event in (
            "node_started",
            "node_ready",
            "zones_out_changed",
            "source_unavailable",
            "peer_lost",
        ):
            assert events.count(event) == 1, event
        assert events.count("config_applied") == 2
        assert "member_changed" in events
        assert "stop_begun" in _events(fleet, "commissions-3")

    _run(check)
