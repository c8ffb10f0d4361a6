"""Single failures of the sender, each brought about on purpose."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import pytest

from magnoliafork.balance import home
from magnoliafork.model.instance import MemberState
from magnoliafork.model.request import (
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeUnknown,
    UnknownReason,
)
from magnoliafork.model.rules import WeightedTarget
from magnoliafork.proxy.routing import keyed_request_id
from magnoliafork.tests import virtual_time
from magnoliafork.tests.proxy.test_sender_fleet import (
    Fleet,
    ask,
    route,
    snapshot,
)

Case = Callable[[Fleet], Awaitable[Outcome]]
NO_REPLY = OutcomeUnknown(UnknownReason.NO_REPLY)


def _homes(key: str, fleet: Fleet) -> list[str]:
    return home.rank(keyed_request_id("orders", key), fleet.nodes)


def _run(case: Case, count: int = 6) -> tuple[Outcome, Fleet]:
    async def main() -> tuple[Outcome, Fleet]:
        fleet = Fleet(count)
        outcome = await case(fleet)
        await fleet.settle()
        return outcome, fleet

    return virtual_time.run(main())


@pytest.mark.parametrize(
    ("faults", "expected", "runs"),
    [
        (["dies_before"], UnknownReason.RECEIVER_RESTARTED, 0),
        (["dies_after"], UnknownReason.RECEIVER_RESTARTED, 1),
        (["unknown"], UnknownReason.UPSTREAM_BROKE, 1),
        (["silent", *["silent"] * 9], UnknownReason.NO_REPLY, 0),
        (["silent"], "answered elsewhere", 1),
        (["late_copy"], "answered elsewhere", 1),
        (["unsent"], "answered elsewhere", 1),
        (["overloaded"], "answered elsewhere", 1),
        (["reply_lost"], "answered", 1),
    ],
)
def test_a_failure_of_one_receiver(
    faults: list[str], expected: str, runs: int
) -> None:
    """Guards against "not run" for a request that ran, and second runs."""

    async def case(fleet: Fleet) -> Outcome:
        fleet.current = snapshot(route(deadline_ms=3000))
        fleet.nodes["orders-0"].faults = list(faults)
        return await fleet.sender().handle(ask("/a"))

    outcome, fleet = _run(case, count=3)
    assert len(fleet.runs) == runs
    if isinstance(outcome, Answered):
        came_from = dict(outcome.headers)["X-From"]
        elsewhere = "" if came_from == "orders-0" else " elsewhere"
        assert expected == "answered" + elsewhere
    else:
        assert outcome == OutcomeUnknown(UnknownReason(expected))


def test_all_instances_refuse() -> None:
    """Guards against anything but "not run" when nobody takes a request."""

    async def case(fleet: Fleet) -> Outcome:
        for node in fleet.nodes.values():
            node.faults = ["overloaded"] * 5
        return await fleet.sender().handle(ask("/a"))

    outcome, fleet = _run(case)
    assert outcome == NotRun(NotRunReason.OVERLOADED, 100)
    assert len({instance_id for instance_id, _ in fleet.calls}) == 3


def test_an_old_attempt_is_not_fenced() -> None:
    """Guards against "not run" from a receiver that forgot the outcome."""

    async def case(fleet: Fleet) -> Outcome:
        fleet.current = snapshot(route(deadline_ms=200_000))
        fleet.service_s = 61.0
        node = fleet.nodes["orders-0"]
        task = asyncio.create_task(fleet.sender().handle(ask("/a")))
        await asyncio.sleep(61.0 - 0.001)
        node.incarnation += 1
        return await task

    outcome, fleet = _run(case, count=1)
    assert outcome == OutcomeUnknown(UnknownReason.ANSWER_FORGOTTEN)


def test_a_zone_goes_out_in_the_middle_of_calls() -> None:
    """Guards against new work for a zone that is out (I5)."""

    async def case(fleet: Fleet) -> Outcome:
        sender = fleet.sender()
        fleet.service_s = 0.2
        tasks = [
            asyncio.create_task(sender.handle(ask(f"/{n}"))) for n in range(9)
        ]
        await asyncio.sleep(0.1)
        fleet.current = snapshot(route(), zones_out=("z0",))
        called_before = len(fleet.calls)
        for node in fleet.nodes.values():
            node.faults = ["overloaded"]
        await asyncio.gather(*[sender.handle(ask(f"/b{n}")) for n in range(9)])
        fleet.calls = fleet.calls[called_before:]
        return (await asyncio.gather(*tasks))[0]

    outcome, fleet = _run(case)
    assert isinstance(outcome, Answered)
    called = {instance_id for instance_id, _ in fleet.calls}
    assert called
    assert called.isdisjoint({"orders-0", "orders-3"})


@pytest.mark.parametrize(
    ("repeatable", "cancelled", "answered"),
    [(True, ["/a"], 0), (False, [], 1)],
)
def test_a_caller_disconnects(
    repeatable: bool, cancelled: list[str], answered: int
) -> None:
    """Guards against wasted runs, and against cutting a run that counts."""

    async def case(fleet: Fleet) -> Outcome:
        fleet.current = snapshot(route(repeatable=repeatable))
        sender = fleet.sender()
        task = asyncio.create_task(sender.handle(ask("/a")))
        await asyncio.sleep(0.001)
        task.cancel()
        assert await sender.drained(1.0) == 0
        assert sender.counters.answered == answered
        return NO_REPLY

    assert _run(case)[1].cancelled == cancelled


def test_stop_in_the_middle_of_calls() -> None:
    """Guards against a stop that cuts calls or takes new ones (I10)."""

    async def case(fleet: Fleet) -> Outcome:
        sender = fleet.sender()
        task = asyncio.create_task(sender.handle(ask("/a")))
        await asyncio.sleep(0.001)
        sender.begin_stop()
        refused = await sender.handle(ask("/b"))
        assert refused == NotRun(NotRunReason.LEAVING)
        assert await sender.drained(0.001) == 1
        assert await sender.drained(1.0) == 0
        return await task

    outcome, fleet = _run(case)
    assert isinstance(outcome, Answered)
    assert [path for _, path in fleet.runs] == ["/a"]


def test_a_hedge_wins_and_the_slow_copy_is_cancelled() -> None:
    """Guards against slow copies that run on after the answer."""

    async def case(fleet: Fleet) -> Outcome:
        fleet.current = snapshot(route(repeatable=True, hedge_ms=40))
        fleet.nodes["orders-0"].faults = ["silent"]
        start_s = asyncio.get_running_loop().time()
        outcome = await fleet.sender().handle(ask("/a"))
        assert asyncio.get_running_loop().time() - start_s < 0.1
        return outcome

    outcome, fleet = _run(case, count=3)
    assert isinstance(outcome, Answered)
    assert len(fleet.calls) == 2


@pytest.mark.parametrize(
    ("moves", "expected"),
    [(1, "answered"), (2, "answered"), (3, UnknownReason.HOME_CHANGED)],
)
def test_the_home_of_a_key_moves(moves: int, expected: str) -> None:
    """Guards against endless redirects and a run at the wrong home."""

    async def case(fleet: Fleet) -> Outcome:
        homes = _homes("k", fleet)
        for old, new in zip(homes[:moves], homes[1 : moves + 1], strict=True):
            fleet.nodes[old].moved_to = new
        return await fleet.sender().handle(ask("/a", "k"))

    outcome, fleet = _run(case)
    if expected == "answered":
        assert isinstance(outcome, Answered)
        assert fleet.calls[-1][0] == _homes("k", fleet)[moves]
    else:
        assert outcome == OutcomeUnknown(UnknownReason(expected))
        assert not fleet.runs


@pytest.mark.parametrize(
    ("faults", "first", "expected"),
    [
        (["overloaded"], False, NotRun(NotRunReason.OVERLOADED, 100)),
        (["leaving"], False, NotRun(NotRunReason.LEAVING, 100)),
        (["unsent"] * 9, True, NotRun(NotRunReason.UNREACHABLE)),
        (["unsent"] * 9, False, NO_REPLY),
        (["silent"], False, NotRun(NotRunReason.REFUSED_FOR_EVER)),
    ],
)
def test_a_keyed_request_stays_at_its_home(
    faults: list[str], first: bool, expected: Outcome
) -> None:
    """Guards against a second run of a key at another instance (I8)."""

    async def case(fleet: Fleet) -> Outcome:
        fleet.nodes[_homes("k", fleet)[0]].faults = list(faults)
        return await fleet.sender().handle(ask("/a", "k", first))

    outcome, fleet = _run(case)
    assert outcome == expected
    assert {name for name, _ in fleet.calls} == {_homes("k", fleet)[0]}


def test_repeats_of_a_key_through_two_nodes_meet() -> None:
    """Guards against nodes that pick different homes or services."""

    async def case(fleet: Fleet) -> Outcome:
        targets = (WeightedTarget("orders", 1), WeightedTarget("orders", 2))
        fleet.current = snapshot(route(targets=targets))
        request = ask("/a", "k")
        both = await asyncio.gather(
            fleet.sender(1, "z0").handle(request),
            fleet.sender(2, "z1").handle(request),
        )
        assert both[0] == both[1]
        return both[0]

    outcome, fleet = _run(case)
    assert isinstance(outcome, Answered)
    assert len(fleet.runs) == 1


def test_states_in_which_a_node_takes_nothing() -> None:
    """Guards against work taken without a configuration or a fresh view."""

    async def case(fleet: Fleet) -> Outcome:
        sender = fleet.sender()
        fleet.members = [
            dataclasses.replace(member, state=MemberState.LEAVING)
            for member in fleet.members
        ]
        nobody = await sender.handle(ask("/a"))
        assert nobody == NotRun(NotRunReason.NO_INSTANCE)
        fleet.current = snapshot(route("/known"))
        no_route = await sender.handle(ask("/a"))
        assert no_route == NotRun(NotRunReason.NO_ROUTE)
        sender._is_view_current = lambda: False
        stale = await sender.handle(ask("/known"))
        assert stale == NotRun(NotRunReason.STALE_VIEW)
        fleet.current = None
        return await sender.handle(ask("/a"))

    outcome, fleet = _run(case)
    assert outcome == NotRun(NotRunReason.NOT_READY)
    assert not fleet.calls
