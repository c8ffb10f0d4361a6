"""Which requests count as suspects of a crash, and until when."""

import asyncio
import io
import itertools
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.mesh.crash_suspects import (
    CLEARED_EXPIRY_S,
    FIRST_REFUSAL_S,
    MAX_SUSPECTS,
    SUSPECT_EXPIRY_S,
    Crash,
    CrashRecord,
    CrashSuspects,
    designated_upstream,
    fingerprint,
)
from magnoliafork.observe.logs import EventLog
from magnoliafork.tests import virtual_time
from magnoliafork.tests.mesh.builders import entry

KEY = fingerprint("catalogue", "GET", "/1", b"")


def table() -> CrashSuspects:
    clock = asyncio.get_running_loop().time
    return CrashSuspects(clock, EventLog("error", io.StringIO()))


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await test()

    virtual_time.run(main())


def test_requests_that_differ_in_one_part_are_not_suspected_together() -> None:
    """Sound requests on the same path would be refused."""
    keys = {
        fingerprint("catalogue", "GET", "/1", b""),
        fingerprint("orders", "GET", "/1", b""),
        fingerprint("catalogue", "POST", "/1", b""),
        fingerprint("catalogue", "GET", "/1?a=2", b""),
        fingerprint("catalogue", "GET", "/1", b"2"),
    }
    assert len(keys) == 5


def test_request_is_refused_after_its_second_crash() -> None:
    """A request that crashes its upstream ended one after the other."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        suspicion = suspects.suspicion("catalogue", "GET", "/1", b"")
        assert suspicion is not None
        assert not suspicion.is_refused
        suspects.record_crash(KEY, entry("b"))
        suspicion = suspects.suspicion("catalogue", "GET", "/1", b"")
        assert suspicion is not None
        assert suspicion.refused_for_s == FIRST_REFUSAL_S

    run(test)


def test_crash_that_several_nodes_report_counts_once() -> None:
    """One crash would count as several and refuse a sound request."""

    async def test() -> None:
        suspects = table()
        for _ in range(3):
            suspects.record_crash(KEY, entry("a"))
            await asyncio.sleep(0.01)
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        assert not suspicion.is_refused
        suspects.record_crash(KEY, entry("a", started_unix_ms=2))
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        assert suspicion.is_refused

    run(test)


def test_refused_request_gets_one_attempt_after_its_time() -> None:
    """A request whose fault was repaired would be refused for ever."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        suspects.record_crash(KEY, entry("b"))
        await asyncio.sleep(FIRST_REFUSAL_S)
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        assert not suspicion.is_refused
        suspects.record_crash(KEY, entry("c"))
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        assert suspicion.refused_for_s == 2 * FIRST_REFUSAL_S

    run(test)


def test_answer_clears_a_suspect() -> None:
    """Requests that ran beside the cause of a crash would stay suspects."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        await asyncio.sleep(0.1)
        suspects.record_answer(KEY)
        assert suspects.suspicion_of(KEY) is None
        await asyncio.sleep(0.1)
        suspects.record_crash(KEY, entry("b"))
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        assert not suspicion.is_refused

    run(test)


def test_records_have_the_same_effect_in_any_order() -> None:
    """Nodes that learn of crashes in another order would disagree."""

    async def test() -> None:
        now_s = asyncio.get_running_loop().time()
        records = [
            CrashRecord(KEY, Crash("a", 1), now_s - 0.4),
            CrashRecord(KEY, Crash("b", 1), now_s - 0.1),
            CrashRecord(KEY, None, now_s - 0.2),
            CrashRecord(KEY, Crash("b", 1), now_s - 0.1),
        ]
        for order in itertools.permutations(records):
            suspects = table()
            for record in order:
                suspects.merge(record)
            suspicion = suspects.suspicion_of(KEY)
            assert suspicion is not None
            assert suspicion.crashed_ids == {"b"}

    run(test)


@pytest.mark.parametrize(
    ("crashes", "expiry_s"),
    [(1, SUSPECT_EXPIRY_S), (2, FIRST_REFUSAL_S + SUSPECT_EXPIRY_S)],
)
def test_suspects_are_forgotten(crashes: int, expiry_s: float) -> None:
    """Guards against a table that grows and costs time with each request."""

    async def test() -> None:
        suspects = table()
        for name in "ab"[:crashes]:
            suspects.record_crash(KEY, entry(name))
        await asyncio.sleep(expiry_s)
        assert suspects.suspicion_of(KEY) is None
        suspects.tick()
        assert len(suspects) == 0

    run(test)


def test_cleared_suspects_are_forgotten() -> None:
    """Guards against a table that grows with each crash."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        await asyncio.sleep(0.1)
        suspects.record_answer(KEY)
        assert len(suspects) == 1
        await asyncio.sleep(CLEARED_EXPIRY_S)
        suspects.tick()
        assert len(suspects) == 0

    run(test)


def test_table_is_bounded_and_keeps_those_of_the_most_crashes() -> None:
    """Guards against many crashes that make a node forget the worst request."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        suspects.record_crash(KEY, entry("b"))
        for number in range(2 * MAX_SUSPECTS):
            key = fingerprint("catalogue", "GET", f"/{number}", b"x")
            suspects.record_crash(key, entry("c"))
        assert len(suspects) == MAX_SUSPECTS
        assert suspects.suspicion_of(KEY) is not None

    run(test)


def test_all_nodes_designate_the_same_upstream() -> None:
    """Two nodes would let a suspect crash two upstreams at once."""

    async def test() -> None:
        suspects = table()
        suspects.record_crash(KEY, entry("a"))
        suspicion = suspects.suspicion_of(KEY)
        assert suspicion is not None
        entries = [entry(name) for name in "abcd"]
        chosen = designated_upstream(entries, (), suspicion)
        assert chosen is not None
        assert chosen == designated_upstream(entries[::-1], (), suspicion)
        assert chosen.upstream_id != "a"
        other = designated_upstream(entries, {chosen.host}, suspicion)
        assert other not in (None, chosen)
        assert designated_upstream(entries[:1], (), suspicion) is None

    run(test)
