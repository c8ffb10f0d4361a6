"""Tests of the receiver, one rule at a time."""

import asyncio
from collections.abc import Awaitable

import pytest

from magnoliafork.balance.rendezvous import rank
from magnoliafork.model.instance import MemberState
from magnoliafork.model.request import NotRunReason, UnknownReason
from magnoliafork.model.rules import Priority
from magnoliafork.proxy.upstream import (
    UpstreamAnswer,
    UpstreamNotRun,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.proxy.test_receiver_fakes import (
    FakePeers,
    Node,
    make_call,
    make_fence,
    make_instance,
    make_node,
    make_snapshot,
)
from magnoliafork.wire import messages
from magnoliafork.wire.messages import CallAnswer, CallRefused, CallUnknown

KEY = "key-1"
IDS = [make_instance(number).instance_id for number in range(3)]
# Numbers of the instances in the order of their rank for KEY.
FIRST, SECOND, THIRD = (IDS.index(name) for name in rank(KEY, IDS))


async def start(
    call: Awaitable[messages.StreamReply],
) -> asyncio.Future[messages.StreamReply]:
    task = asyncio.ensure_future(call)
    await asyncio.sleep(0.01)
    return task


def reason(reply: messages.StreamReply) -> str:
    assert isinstance(reply, CallRefused | CallUnknown)
    return reply.reason


def test_new_work_is_refused_as_not_run() -> None:
    # Guards against new work at an instance that is closed by a zone out, a
    # drain, a stale view or a stop, also from the queue (I5, I9).
    async def main(node: Node, close: str) -> None:
        first = await start(node.receiver.on_call("s", make_call("a")))
        queued = await start(node.receiver.on_call("s", make_call("b")))
        if close == "zone_out":
            node.snapshots.current = make_snapshot(["joliette"], slots=1)
        elif close == "drained":
            node.snapshots.current = make_snapshot([], ["c-0"], slots=1)
        elif close == "stale_view":
            node.is_stale = True
        else:
            node.receiver.begin_stop()
        node.receiver.tick(asyncio.get_running_loop().time())
        assert reason(await queued) == close
        for repeatable in (True, False):
            call = make_call("c", repeatable=repeatable)
            reply = await node.receiver.on_call("s", call)
            assert reason(reply) == close
        # The running request is not cancelled (I10), and its repeat still gets
        # the answer, because "not run" would be false.
        repeat = await node.receiver.on_call("s", make_call("a"))
        assert isinstance(repeat, CallAnswer)
        assert isinstance(await first, CallAnswer)
        assert len(node.upstream.runs) == 1

    async def all_states() -> None:
        for close in ("zone_out", "drained", "stale_view", "leaving"):
            await main(make_node(snapshot=make_snapshot(slots=1)), close)

    virtual_time.run(all_states())


def test_concurrent_repeats_share_one_run_and_one_answer() -> None:
    # Guards against a second run (I8) when a caller repeats a key while the
    # first call runs.
    async def main() -> None:
        node = make_node(FIRST)
        call = make_call(KEY, keyed=True)
        calls = [node.receiver.on_call("s", call) for _ in range(5)]
        answers = await asyncio.gather(*calls)
        await asyncio.sleep(119)
        answers.append(await node.receiver.on_call("s", call))
        assert {type(answer) for answer in answers} == {CallAnswer}
        assert len(node.upstream.runs) == 1
        await asyncio.sleep(5)
        late = await node.receiver.on_call("s", call)
        assert reason(late) == UnknownReason.ANSWER_FORGOTTEN
        reused = make_call(KEY, keyed=True, body=b"other")
        reply = await node.receiver.on_call("s", reused)
        assert reason(reply) == NotRunReason.KEY_REUSED
        assert len(node.upstream.runs) == 1

    virtual_time.run(main())


def test_cancelled_run_continues_and_queued_one_never_starts() -> None:
    # Guards against a payment that is interrupted, and one that starts after
    # its caller was told that it would not run.
    async def main() -> None:
        node = make_node(snapshot=make_snapshot(slots=1))
        running = await start(node.receiver.on_call("s", make_call("a")))
        queued = await start(node.receiver.on_call("s", make_call("b")))
        for task in (running, queued):
            task.cancel()
        await asyncio.sleep(1)
        assert node.upstream.completed == 1
        fenced = await node.receiver.on_fence("s", make_fence("a"))
        assert isinstance(fenced, CallAnswer)
        reply = await node.receiver.on_call("s", make_call("b"))
        assert reason(reply) == NotRunReason.REFUSED_FOR_EVER
        fence = await node.receiver.on_fence("s", make_fence("b"))
        assert fence == messages.CallFenceReply(3, "never_ran")
        assert len(node.upstream.runs) == 1

    virtual_time.run(main())


def test_cancelled_repeatable_call_cancels_the_upstream() -> None:
    # Guards against upstream work without a waiting caller, and a leaked slot.
    async def main() -> None:
        node = make_node()
        call = make_call(repeatable=True)
        running = await start(node.receiver.on_call("s", call))
        running.cancel()
        await asyncio.sleep(1)
        assert node.upstream.completed == 0
        assert node.receiver.active == 0

    virtual_time.run(main())


def test_deadline_holds_in_the_queue_and_at_the_upstream() -> None:
    # Guards against answers after the deadline and against expired entries
    # that run after a pause of the process.
    async def main() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtual_time.VirtualTimeLoop)
        node = make_node(snapshot=make_snapshot(slots=1), latency_s=5)
        started_s = loop.time()
        running = await start(
            node.receiver.on_call("s", make_call("a", remaining_ms=300))
        )
        for name, repeatable in (("b", True), ("c", False)):
            call = make_call(name, repeatable=repeatable, remaining_ms=200)
            reply = await node.receiver.on_call("s", call)
            assert reason(reply) == NotRunReason.DEADLINE
        assert reason(await running) == UnknownReason.UPSTREAM_TIMEOUT
        assert loop.time() - started_s < 0.5
        paused = await start(
            node.receiver.on_call("s", make_call("d", remaining_ms=9000))
        )
        loop.jump(20)
        assert reason(await paused) == NotRunReason.DEADLINE
        # The run continues past its deadline, so that a repeat gets the answer.
        repeat = await node.receiver.on_call("s", make_call("a"))
        assert isinstance(repeat, CallAnswer)
        assert len(node.upstream.runs) == 1

    virtual_time.run(main())


def test_run_at_a_hanging_upstream_ends_after_the_grace_time() -> None:
    # Guards against a slot that is never freed.
    async def main() -> None:
        node = make_node(latency_s=10_000)
        await node.receiver.on_call("s", make_call())
        assert node.receiver.active == 1
        await asyncio.sleep(31)
        assert node.receiver.active == 0
        reply = await node.receiver.on_call("s", make_call())
        assert reason(reply) == UnknownReason.UPSTREAM_TIMEOUT

    virtual_time.run(main())


def test_queue_is_bounded_and_serves_by_priority() -> None:
    # Guards against an unbounded queue and against requests of low priority
    # that delay those of high priority.
    async def main() -> None:
        node = make_node(snapshot=make_snapshot(slots=1, queue=2))
        calls = []
        for name in ("low-1", "low-2", "low-3", "high"):
            priority = Priority.HIGH if name == "high" else Priority.LOW
            call = make_call(name, priority=priority)
            calls.append(await start(node.receiver.on_call("s", call)))
        replies = await asyncio.gather(*calls)
        ran = [run.headers[0][1] for run in node.upstream.runs]
        assert ran == ["low-1", "high", "low-2"]
        assert reason(replies[2]) == NotRunReason.OVERLOADED

    virtual_time.run(main())


def test_upstream_outcomes_are_recorded() -> None:
    # Guards against "not run" for a request that the upstream may have run,
    # and against refusing a repeat of one that certainly did not run.
    async def main() -> None:
        node = make_node()
        broke = UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, "")
        node.upstream.answer = lambda request: broke
        for _ in range(2):
            reply = await node.receiver.on_call("s", make_call("a"))
            assert reason(reply) == UnknownReason.UPSTREAM_BROKE
        assert len(node.upstream.runs) == 1
        shed = UpstreamNotRun(NotRunReason.UPSTREAM_REFUSED, 50, "b1", "")
        node.upstream.answer = lambda request: shed
        reply = await node.receiver.on_call("s", make_call("b"))
        assert reason(reply) == NotRunReason.UPSTREAM_REFUSED
        whole = UpstreamAnswer(200, (), b"ok", "b1")
        node.upstream.answer = lambda request: whole
        reply = await node.receiver.on_call("s", make_call("b"))
        assert isinstance(reply, CallAnswer)

    virtual_time.run(main())


def test_boot_id_change_and_refused_connection_restart_the_ramp() -> None:
    # Guards against overload of a cold upstream (I4) after it restarts without
    # notice.
    async def main() -> None:
        node = make_node(snapshot=make_snapshot(slots=9, ramp_s=10))
        results: dict[str, UpstreamResult] = {
            "a": UpstreamAnswer(200, (), b"", "b1"),
            "b": UpstreamAnswer(200, (), b"", "b2"),
            "c": UpstreamNotRun(NotRunReason.UNREACHABLE, 0, "", ""),
        }
        node.upstream.answer = lambda run: results[run.headers[0][1]]
        for name in results:
            await node.receiver.on_call("s", make_call(name))
            assert node.receiver.limit == 1
            await asyncio.sleep(5)
            assert node.receiver.limit == 5
            await asyncio.sleep(5)
            assert node.receiver.limit == 9
        assert node.receiver.counters.ramp_restarts == 2

    virtual_time.run(main())


def test_fence_replies() -> None:
    # Guards against wrong fence replies, from which senders conclude "not run".
    async def main() -> None:
        node = make_node()
        on_fence = node.receiver.on_fence
        running = await start(node.receiver.on_call("s", make_call("a")))
        assert isinstance(await on_fence("s", make_fence("a")), CallAnswer)
        assert isinstance(await running, CallAnswer)
        other = await on_fence("s", make_fence("b", incarnation=2))
        assert other == messages.CallFenceReply(3, "other_incarnation")
        never = await on_fence("s", make_fence("b"))
        assert never == messages.CallFenceReply(3, "never_ran")
        reply = await node.receiver.on_call("s", make_call("b"))
        assert reason(reply) == NotRunReason.REFUSED_FOR_EVER
        moved = await on_fence("p", make_fence("c", 0, "c-1"))
        assert moved == messages.CallFenceReply(3, "never_ran")
        reply = await node.receiver.on_call("s", make_call("c"))
        assert isinstance(reply, CallRefused)
        assert (reply.reason, reply.moved_to) == ("moved", "c-1")
        assert len(node.upstream.runs) == 1

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("number", "first", "reachable", "state", "expected"),
    [
        (FIRST, False, False, MemberState.ALIVE, "answer"),
        (SECOND, False, True, MemberState.ALIVE, "answer"),
        (SECOND, False, False, MemberState.ALIVE, UnknownReason.HOME_CHANGED),
        (SECOND, False, False, MemberState.DEAD, UnknownReason.HOME_CHANGED),
        (SECOND, True, False, MemberState.ALIVE, NotRunReason.UNREACHABLE),
        (SECOND, True, False, MemberState.DEAD, "answer"),
        (SECOND, True, False, MemberState.LEAVING, "answer"),
    ],
)
def test_second_home_runs_only_what_the_first_cannot_have_run(
    number: int,
    first: bool,
    reachable: bool,
    state: MemberState,
    expected: str,
) -> None:
    # Guards against a second run (I8) and a wrong "not run" (I7) while nodes
    # disagree about the home of a key.
    async def main() -> None:
        peers = FakePeers()
        if reachable:
            make_node(FIRST, peers=peers)
        node = make_node(number, peers=peers)
        if number != FIRST:
            node.members.put(make_instance(FIRST), state=state)
        call = make_call(KEY, keyed=True, first=first)
        reply = await node.receiver.on_call("s", call)
        if expected == "answer":
            assert isinstance(reply, CallAnswer)
        else:
            assert reason(reply) == expected
        assert len(node.upstream.runs) == (expected == "answer")
        assert bool(peers.fences) == (number != FIRST)

    virtual_time.run(main())


@pytest.mark.parametrize("is_home_first", [True, False])
def test_restarted_home_does_not_answer_for_its_earlier_process(
    is_home_first: bool,
) -> None:
    # Guards against a second run (I8) when the home crashes after the run and
    # restarts with an empty ledger, also when another instance has asked it in
    # between.
    restarted = UnknownReason.RECEIVER_RESTARTED

    async def main() -> None:
        peers = FakePeers()
        home = make_node(FIRST, peers=peers, fresh=True)
        others = [make_node(n, peers=peers) for n in (SECOND, THIRD)]
        nodes = (home, *others) if is_home_first else (*others, home)
        for node in nodes:
            call = make_call(KEY, keyed=True)
            reply = await node.receiver.on_call("s", call)
            assert reason(reply) in ("moved", "home_changed", restarted)
            assert node.upstream.runs == []
        first = make_call("key-2", keyed=True, first=True)
        reply = await home.receiver.on_call("s", first)
        assert isinstance(reply, CallAnswer)

    virtual_time.run(main())


def test_outcome_of_another_home_is_passed_on() -> None:
    # Guards against a second run (I8) when the home of a key changes while the
    # run at the first home is in progress.
    async def main() -> None:
        peers = FakePeers()
        old = make_node(FIRST, peers=peers)
        new = make_node(SECOND, peers=peers)
        call = make_call(KEY, keyed=True)
        running = await start(old.receiver.on_call("s", call))
        passed_on = await new.receiver.on_call("s", call)
        assert isinstance(passed_on, CallAnswer)
        assert isinstance(await running, CallAnswer)
        assert len(old.upstream.runs) == 1
        assert new.upstream.runs == []

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("first", "expected"),
    [(False, UnknownReason.HOME_CHANGED), (True, "answer")],
)
def test_home_in_a_partition_does_not_repeat_what_the_other_side_ran(
    first: bool, expected: str
) -> None:
    # Guards against a second run (I8) after a network partition: the other
    # side sees this home as dead and has run the first attempt at the second
    # home, which looks dead from here.
    async def main() -> None:
        node = make_node(FIRST)
        node.members.put(make_instance(SECOND), state=MemberState.DEAD)
        call = make_call(KEY, keyed=True, first=first)
        reply = await node.receiver.on_call("s", call)
        if expected == "answer":
            assert isinstance(reply, CallAnswer)
        else:
            assert reason(reply) == expected
            assert node.upstream.runs == []

    virtual_time.run(main())


def test_closed_home_does_not_report_an_unclaimed_repeat_as_not_run() -> None:
    # Guards against a wrong "not run" (I7): a zone is taken out right after
    # the home has changed, and the previous home may have run an earlier
    # attempt.
    async def main() -> None:
        snapshot = make_snapshot(["joliette", "rawdon"])
        node = make_node(SECOND, snapshot=snapshot)
        repeat = make_call(KEY, keyed=True)
        reply = await node.receiver.on_call("s", repeat)
        assert reason(reply) == UnknownReason.HOME_CHANGED
        attempt = make_call(KEY, keyed=True, first=True)
        reply = await node.receiver.on_call("s", attempt)
        assert reason(reply) == NotRunReason.ZONE_OUT

    virtual_time.run(main())


def test_instances_that_are_gone_for_long_are_not_asked() -> None:
    # Guards against keyed requests that stay unknown because of an instance
    # that will never reply.
    async def main() -> None:
        for state, incarnation in (
            (MemberState.DEAD, 1),
            (MemberState.ALIVE, 0),
        ):
            node = make_node(SECOND)
            home = make_instance(FIRST)
            call = make_call(KEY, keyed=True)
            node.members.put(home, incarnation, state, age_s=119)
            reply = await node.receiver.on_call("s", call)
            assert reason(reply) == UnknownReason.HOME_CHANGED
            await asyncio.sleep(2)
            reply = await node.receiver.on_call("s", call)
            assert isinstance(reply, CallAnswer)

    virtual_time.run(main())


def test_concurrent_claims_do_not_wait_for_each_other() -> None:
    # Guards against a deadlock until the deadline, and against two runs.
    async def main() -> None:
        peers = FakePeers()
        nodes = [make_node(n, peers=peers) for n in range(3)]
        loop = asyncio.get_running_loop()
        for node in nodes:
            for number in range(3):
                node.members.put(make_instance(number))
        call = make_call(KEY, keyed=True)
        started_s = loop.time()
        replies = await asyncio.gather(
            *(node.receiver.on_call("s", call) for node in nodes)
        )
        assert loop.time() - started_s < 0.2
        assert sum(len(node.upstream.runs) for node in nodes) == 1
        assert isinstance(replies[FIRST], CallAnswer)

    virtual_time.run(main())


def test_planned_stop_waits_and_counts_cancelled_calls() -> None:
    # Guards against a planned stop that cancels calls before its time limit
    # (I10), or does not count those that it cancels.
    async def main() -> None:
        node = make_node(latency_s=2)
        call = make_call(remaining_ms=10_000)
        running = await start(node.receiver.on_call("s", call))
        node.receiver.begin_stop()
        assert await node.receiver.drained(1) == 1
        assert reason(await running) == UnknownReason.NO_REPLY
        node = make_node(latency_s=2)
        running = await start(node.receiver.on_call("s", call))
        node.receiver.begin_stop()
        assert await node.receiver.drained(30) == 0
        assert isinstance(await running, CallAnswer)

    virtual_time.run(main())
