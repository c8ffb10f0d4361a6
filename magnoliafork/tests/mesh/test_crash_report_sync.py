"""Which records of crashes nodes send each other, and how many."""

import asyncio
import io
from collections.abc import Awaitable, Callable

from magnoliafork.mesh.crash_report_sync import (
    BURST_RECORDS,
    RECORDS_PER_S,
    CrashReportSync,
)
from magnoliafork.mesh.crash_suspects import CrashSuspects, fingerprint
from magnoliafork.observe.logs import EventLog
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.builders import entry
from magnoliafork.wire import codec, messages

KEY = fingerprint("catalogue", "GET", "/1", b"")
ANNOUNCE = messages.ViewAnnounce(1, 0, 0, accepts_crash_reports=True)
# Bytes that a node may send for control in a second.
CONTROL_BYTES_PER_S = 3000
NEIGHBOURS = 4


class FakeLinks:
    """Records what is sent to each neighbour."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, messages.ControlMessage]] = []

    def neighbours(self) -> tuple[str, ...]:
        return ()

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        self.sent.append((instance_id, message))
        return True

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        pass

    def reports_to(self, peer: str) -> list[messages.CrashReport]:
        return [
            report
            for host, message in self.sent
            if host == peer and isinstance(message, messages.CrashReports)
            for report in message.reports
        ]


class Setup:
    """The exchange of one node."""

    def __init__(self) -> None:
        clock = asyncio.get_running_loop().time
        self.links = FakeLinks()
        self.suspects = CrashSuspects(clock, EventLog("error", io.StringIO()))
        self.sync = CrashReportSync(self.suspects, self.links, clock)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await test()

    virtual_time.run(main())


def report(upstream_id: str = "a", age_ms: int = 5) -> messages.CrashReport:
    return messages.CrashReport(KEY, upstream_id, 1, age_ms, False)


def test_record_reaches_all_neighbours_but_its_source() -> None:
    """A record that is sent back and forth would never come to rest."""

    async def test() -> None:
        setup = Setup()
        for peer in ("p", "q", "r"):
            setup.sync.on_control(peer, ANNOUNCE)
        for peer in ("p", "q"):
            setup.sync.on_control(peer, messages.CrashReports((report(),)))
        await asyncio.sleep(0)
        assert not setup.links.reports_to("p")
        assert len(setup.links.reports_to("q")) == 1
        assert len(setup.links.reports_to("r")) == 1

    run(test)


def test_neighbour_of_an_earlier_release_gets_no_records() -> None:
    """It closes the connection on a message that it does not know."""

    async def test() -> None:
        setup = Setup()
        setup.sync.on_control("p", messages.ViewAnnounce(1, 0, 0))
        setup.suspects.record_crash(KEY, entry("a"))
        await asyncio.sleep(1)
        assert setup.links.sent == []

    run(test)


def test_age_of_a_record_grows_from_node_to_node() -> None:
    """An answer that is newer than a crash would not clear the request."""

    async def test() -> None:
        setup = Setup()
        setup.sync.on_control("p", messages.CrashReports((report(age_ms=400),)))
        await asyncio.sleep(0.5)
        setup.sync.on_control("q", ANNOUNCE)
        (sent,) = setup.links.reports_to("q")
        assert abs(sent.age_ms - 900) <= 1

    run(test)


def test_record_without_an_upstream_or_of_the_future_is_harmless() -> None:
    """Guards against messages whose fields are empty or negative."""

    async def test() -> None:
        setup = Setup()
        odd = messages.CrashReport(b"", "", 0, -5000, False)
        setup.sync.on_control("p", messages.CrashReports((odd,)))
        suspicion = setup.suspects.suspicion_of(KEY)
        assert suspicion is None
        await asyncio.sleep(1)

    run(test)


def test_storm_of_crashes_keeps_to_the_rate_of_control_messages() -> None:
    """The records of many crashes filled the links of all nodes."""

    async def test() -> None:
        setup = Setup()
        for peer in range(NEIGHBOURS):
            setup.sync.on_control(f"p{peer}", ANNOUNCE)
        duration_s = 30
        for number in range(100 * duration_s):
            key = fingerprint("catalogue", "GET", f"/{number}", b"")
            setup.suspects.record_crash(key, entry("a"))
            await asyncio.sleep(0.01)
            setup.sync.tick()
        setup.suspects.record_crash(KEY, entry("a"))
        setup.suspects.record_crash(KEY, entry("b"))
        await asyncio.sleep(1 / RECORDS_PER_S * 3)
        setup.sync.tick()
        sent = setup.links.reports_to("p0")
        assert len(sent) <= BURST_RECORDS + (duration_s + 1) * RECORDS_PER_S
        # The request that has crashed two upstreams goes first.
        assert KEY in [r.fingerprint for r in sent[-3:]]
        sent_bytes = sum(
            len(codec.encode(message)) for _, message in setup.links.sent
        )
        burst_bytes = BURST_RECORDS * NEIGHBOURS * 100
        assert sent_bytes - burst_bytes <= CONTROL_BYTES_PER_S * duration_s

    run(test)
