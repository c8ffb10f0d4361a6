"""Long requests that a node accepts in the middle of its grace period."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import fleet_2 as fleet

# Of the deployment in `large/`.
GRACE_PERIOD_S = 10.0
BOUNDS = {"grace_period_s": 10, "drain_timeout_ms": 3000, "budget_slack": 430}
TIMEOUT_MS, DEADLINE_MS, WORK_MS = 8000, 15_000, 6000
# Seconds after SIGTERM at which requests are sent, all later than 3 s.
SENT_AFTER_S = (3.5, 3.7, 3.9, 4.1, 4.3, 4.5)


async def long_request(node, connection, attempt, at_s, record):
    """Sends a request at a time; returns its status, 0 for a closed connection.

    None if it was refused, which promises that it has not run.
    """
    reader, writer = connection
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))
    sent_s = time.monotonic()
    path = f"/teinture/?work_ms={WORK_MS}"
    writer.write(fleet.request("GET", path, attempt, DEADLINE_MS))
    try:
        answer = await fleet.read_answer(reader)
    except (OSError, asyncio.IncompleteReadError):
        answer = None
    took_s = time.monotonic() - sent_s
    status, headers, body = answer or (0, {}, b"")
    seal = headers.get("magnoliafork-server-seal")
    record(
        f"answer to {attempt} from {node.host} after {took_s:.2f} s:"
        f" {status}, seal {seal}, {body[:90]!r}"
    )
    return status, seal, time.monotonic()


async def short_requests(node, number, until_s):
    """Sends one short request after the other, as consumers of the machine do.

    Opens a new connection after each answer that closes the last one.
    """
    turn = 0
    while time.monotonic() < until_s:
        try:
            reader, writer = await asyncio.open_connection(*node.callers)
        except OSError:
            return
        try:
            is_open = True
            while is_open and time.monotonic() < until_s:
                turn += 1
                attempt = f"short-{number}-{turn}"
                path = "/teinture/?work_ms=300"
                writer.write(fleet.request("GET", path, attempt, 15_000))
                answer = await fleet.read_answer(reader)
                if answer is None or answer[0] == 503:
                    return
                is_open = answer[1].get("connection", "").lower() != "close"
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()


async def case(record, has_trouble):
    routes = [
        {
            "prefix": "/teinture/",
            "kind": "safe",
            "service": "teinturerie",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 2500,
        }
    ]
    deployment = fleet.Fleet("127.46.9", routes, BOUNDS)
    try:
        await deployment.start(
            [(z, "teinturerie") for z in ("joliette", "rawdon", "berthier")],
            {"teinturerie": {"work_s": 0.05}},
        )
        await asyncio.sleep(5.0)
        node = deployment.nodes[0]
        connections = [
            await asyncio.open_connection(*node.callers) for _ in SENT_AFTER_S
        ]
        for number, (reader, writer) in enumerate(connections):
            attempt = f"calm-{number}"
            writer.write(fleet.request("GET", "/teinture/1", attempt, 15_000))
            answer = await fleet.read_answer(reader)
            if answer is None or answer[0] != 200:
                raise fleet.CaseError("a request in calm is not served")
        # Fewer than half of the zone's nodes are in, so consumers go on.
        loops = [
            asyncio.create_task(
                short_requests(node, number, time.monotonic() + 6.0)
            )
            for number in range(3)
        ]
        await asyncio.sleep(0.5)
        begun_s = time.monotonic()
        if has_trouble:
            record(f"SIGTERM to {node.host}")
            node.signal(signal.SIGTERM)
        tasks = [
            asyncio.create_task(
                long_request(
                    node, connection, f"long-{number}", begun_s + at_s, record
                )
            )
            for number, (connection, at_s) in enumerate(
                zip(connections, SENT_AFTER_S)
            )
        ]
        answers = await asyncio.gather(*tasks)
        await asyncio.gather(*loops)
        if has_trouble:
            for _ in range(100):
                if not node.is_running:
                    break
                await asyncio.sleep(0.05)
                if time.monotonic() > begun_s + GRACE_PERIOD_S:
                    node.kill()
            record(f"process of {node.host} has ended")
        spans = {}
        for other in deployment.nodes:
            for attempt, begin_s, end_s in other.server.spans:
                if not attempt.startswith("long-"):
                    continue
                spans.setdefault(attempt, []).append((begin_s, end_s))
                ended = "broken off" if end_s is None else f"{end_s - begun_s:.2f}"
                record(
                    f"{attempt} at work at {other.host} from"
                    f" {begin_s - begun_s:.2f} s to {ended}"
                )
        broken = 0
        for number, (status, seal, ended_s) in enumerate(answers):
            # The server was at work until the answer that was not its own.
            running = [
                begin_s
                for begin_s, end_s in spans.get(f"long-{number}", [])
                if end_s is None and begin_s < ended_s - 0.5
            ]
            if running and seal is None:
                broken += 1
                record(
                    f"long-{number}: passed on to a server and ended with"
                    f" {status} {ended_s - begun_s:.2f} s after SIGTERM"
                )
        record(f"{broken} requests broken off while a server was at work")
        return fleet.BROKEN if broken else fleet.HELD
    finally:
        await deployment.close()


fleet.run_case(HERE, case)
