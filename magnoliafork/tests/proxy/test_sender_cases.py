"""Tests of the sender, one injected failure at a time."""

import asyncio
import dataclasses

import pytest

from magnoliafork.balance import rendezvous
from magnoliafork.balance.ejection import CONSECUTIVE_FAILURES
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
from magnoliafork.tests.proxy.test_sender_fleet import (
    Fleet,
    in_virtual_time,
    make_ingress_request,
    route,
    snapshot,
)

NO_REPLY = OutcomeUnknown(UnknownReason.NO_REPLY)


def _homes(key: str, fleet: Fleet) -> list[str]:
    return rendezvous.rank(keyed_request_id("orders", key), fleet.nodes)


def _answered_by(outcome: Outcome) -> str:
    assert isinstance(outcome, Answered)
    return dict(outcome.headers)["X-From"]


@pytest.mark.parametrize(
    ("faults", "expected", "runs"),
    [
        (["dies_before"], UnknownReason.RECEIVER_RESTARTED, 0),
        (["dies_after"], UnknownReason.RECEIVER_RESTARTED, 1),
        (["unknown"], UnknownReason.UPSTREAM_BROKE, 1),
        (["silent"] * 10, UnknownReason.NO_REPLY, 0),
        (["silent"], "elsewhere", 1),
        (["late_copy"], "elsewhere", 1),
        (["unsent"], "elsewhere", 1),
        (["overloaded"], "elsewhere", 1),
        (["reply_lost"], "here", 1),
    ],
)
@in_virtual_time
async def test_a_failure_of_one_receiver(
    faults: list[str], expected: str, runs: int
) -> None:
    """Guards against "not run" for a request that ran, and second runs."""
    fleet = Fleet(3)
    fleet.current = snapshot(route(deadline_ms=3000))
    fleet.nodes["orders-0"].faults = list(faults)
    outcome = await fleet.sender().handle(make_ingress_request("/a"))
    await fleet.settle()
    assert len(fleet.runs) == runs
    if isinstance(expected, UnknownReason):
        assert outcome == OutcomeUnknown(expected)
    else:
        is_here = _answered_by(outcome) == "orders-0"
        assert is_here == (expected == "here")


@in_virtual_time
async def test_all_instances_refuse() -> None:
    """Guards against other outcomes than "not run" if all instances refuse."""
    fleet = Fleet()
    for node in fleet.nodes.values():
        node.faults = ["overloaded"] * 5
    outcome = await fleet.sender().handle(make_ingress_request("/a"))
    assert outcome == NotRun(NotRunReason.OVERLOADED, 100)
    assert len({instance_id for instance_id, _ in fleet.calls}) == 3


@in_virtual_time
async def test_an_old_attempt_is_not_fenced() -> None:
    """Guards against "not run" from a receiver whose ledger entry expired."""
    fleet = Fleet(1, service_s=61.0)
    fleet.current = snapshot(route(deadline_ms=200_000))
    task = asyncio.create_task(
        fleet.sender().handle(make_ingress_request("/a"))
    )
    await asyncio.sleep(60.9)
    fleet.nodes["orders-0"].incarnation += 1
    expected = OutcomeUnknown(UnknownReason.ANSWER_FORGOTTEN)
    assert await task == expected


@in_virtual_time
async def test_a_zone_is_taken_out_during_calls() -> None:
    """Guards against new work for a zone that is out (I5)."""
    fleet = Fleet(service_s=0.2)
    sender = fleet.sender()
    running = [
        asyncio.create_task(sender.handle(make_ingress_request(f"/{n}")))
        for n in range(9)
    ]
    await asyncio.sleep(0.1)
    fleet.current = snapshot(route(), zones_out=("z0",))
    fleet.calls = []
    for node in fleet.nodes.values():
        node.faults = ["overloaded"]
    await asyncio.gather(
        *[sender.handle(make_ingress_request(f"/b{n}")) for n in range(9)]
    )
    called = {instance_id for instance_id, _ in fleet.calls}
    assert called
    assert called.isdisjoint({"orders-0", "orders-3"})
    for outcome in await asyncio.gather(*running):
        assert isinstance(outcome, Answered)


@pytest.mark.parametrize("repeatable", [True, False])
@in_virtual_time
async def test_a_caller_disconnects(repeatable: bool) -> None:
    """Guards against wasted runs of repeatable requests when a caller leaves.

    A run that may not be repeated must not be cancelled.
    """
    fleet = Fleet()
    fleet.current = snapshot(route(repeatable=repeatable))
    sender = fleet.sender()
    task = asyncio.create_task(sender.handle(make_ingress_request("/a")))
    await asyncio.sleep(0.001)
    task.cancel()
    assert await sender.drained(1.0) == 0
    assert fleet.cancelled == (["/a"] if repeatable else [])
    assert sender.counters.answered == (0 if repeatable else 1)


@in_virtual_time
async def test_stop_during_calls() -> None:
    """Guards against a stop that cancels calls or accepts new ones (I10)."""
    fleet = Fleet()
    sender = fleet.sender()
    task = asyncio.create_task(sender.handle(make_ingress_request("/a")))
    await asyncio.sleep(0.001)
    sender.begin_stop()
    assert await sender.handle(make_ingress_request("/b")) == NotRun(
        NotRunReason.LEAVING
    )
    assert await sender.drained(0.001) == 1
    assert await sender.drained(1.0) == 0
    assert isinstance(await task, Answered)
    assert [path for _, path in fleet.runs] == ["/a"]


@in_virtual_time
async def test_hedges_overtake_and_then_eject_a_silent_instance() -> None:
    """Guards against waiting for silent links.

    The hedge must answer the first requests; the ejection of the instance must
    spare later ones the wait.
    """
    fleet = Fleet(3)
    fleet.current = snapshot(route(repeatable=True, hedge_ms=40))
    fleet.nodes["orders-0"].faults = ["silent"] * 99
    sender = fleet.sender()
    loop = asyncio.get_running_loop()
    for number in range(CONSECUTIVE_FAILURES):
        start_s = loop.time()
        outcome = await sender.handle(make_ingress_request(f"/{number}"))
        assert _answered_by(outcome) != "orders-0"
        assert loop.time() - start_s < 0.1
        assert len(fleet.calls) == 2 * (number + 1)
        await asyncio.sleep(0.5)
    assert sender.ejections == 1
    await sender.handle(make_ingress_request("/a"))
    assert fleet.calls[-1][0] != "orders-0"


@pytest.mark.parametrize("moves", [1, 2, 3])
@in_virtual_time
async def test_the_home_of_a_key_moves(moves: int) -> None:
    """Guards against endless redirects and a run at the wrong instance."""
    fleet = Fleet()
    homes = _homes("k", fleet)
    for old, new in zip(homes[:moves], homes[1 : moves + 1], strict=True):
        fleet.nodes[old].moved_to = new
    outcome = await fleet.sender().handle(make_ingress_request("/a", "k"))
    if moves <= 2:
        assert _answered_by(outcome) == homes[moves]
    else:
        assert outcome == OutcomeUnknown(UnknownReason.HOME_CHANGED)
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
@in_virtual_time
async def test_a_keyed_request_stays_at_its_home(
    faults: list[str], first: bool, expected: Outcome
) -> None:
    """Guards against a second run of a key at another instance (I8)."""
    fleet = Fleet()
    home_id = _homes("k", fleet)[0]
    fleet.nodes[home_id].faults = list(faults)
    assert (
        await fleet.sender().handle(make_ingress_request("/a", "k", first))
        == expected
    )
    assert {instance_id for instance_id, _ in fleet.calls} == {home_id}


@in_virtual_time
async def test_two_nodes_send_a_key_to_the_same_instance() -> None:
    """Guards against nodes that pick different homes or services for a key."""
    fleet = Fleet()
    targets = (WeightedTarget("orders", 1), WeightedTarget("orders-next", 1))
    fleet.current = snapshot(route(targets=targets))
    senders = [fleet.sender(1, "z0"), fleet.sender(2, "z1")]
    for key in "abcdefgh":
        request = make_ingress_request("/" + key, key)
        first, second = await asyncio.gather(
            *[sender.handle(request) for sender in senders]
        )
        assert first == second
    assert len(fleet.runs) == 8


@in_virtual_time
async def test_states_in_which_a_node_refuses_every_request() -> None:
    """Guards against requests sent without configuration or a current view."""
    fleet = Fleet()
    is_current = True
    sender = fleet.sender(is_view_current=lambda: is_current)
    fleet.members = [
        dataclasses.replace(member, state=MemberState.LEAVING)
        for member in fleet.members
    ]
    nobody = await sender.handle(make_ingress_request("/a"))
    assert nobody == NotRun(NotRunReason.NO_INSTANCE)
    fleet.current = snapshot(route("/known"))
    no_route = await sender.handle(make_ingress_request("/a"))
    assert no_route == NotRun(NotRunReason.NO_ROUTE)
    is_current = False
    stale = await sender.handle(make_ingress_request("/known"))
    assert stale == NotRun(NotRunReason.STALE_VIEW)
    fleet.current = None
    not_ready = await sender.handle(make_ingress_request("/known"))
    assert not_ready == NotRun(NotRunReason.NOT_READY)
    assert not fleet.calls
