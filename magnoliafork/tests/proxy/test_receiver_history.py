"""Checks the receiver's guarantees in random histories of three receivers.

Senders repeat, cancel and fence requests, also concurrently, while processes
and upstreams restart, zones are taken out, instances drain and links fail.
Every history is reproducible from its seed.
"""

import asyncio
import dataclasses
import gc
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

from magnoliafork.admission import eligibility
from magnoliafork.admission.ledger import Ledger
from magnoliafork.admission.ramp import Ramp
from magnoliafork.balance.rendezvous import rank
from magnoliafork.model.instance import MemberState
from magnoliafork.model.request import NotRunReason, UnknownReason
from magnoliafork.proxy import replies
from magnoliafork.proxy.at_most_once import AtMostOnceCalls
from magnoliafork.proxy.home_claims import Claim, HomeClaims
from magnoliafork.proxy.instance_eligibility import InstanceEligibility
from magnoliafork.proxy.receiver import Receiver
from magnoliafork.proxy.upstream import (
    UpstreamAnswer,
    UpstreamNotRun,
    UpstreamRequest,
    UpstreamResult,
    UpstreamUnknown,
)
from magnoliafork.tests import virtual_time
from magnoliafork.tests.proxy.test_receiver_fakes import (
    FakeMembers,
    FakeSnapshots,
    make_call,
    make_instance,
    make_snapshot,
)
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure
from magnoliafork.wire.messages import CallAnswer, CallRefused, CallUnknown

DURATION_S = 500.0
CALLS_PER_S = 8.0
SLOTS = 4
RAMP_S = 4.0
# An upstream takes at least this long to restart.
MIN_RESTART_S = 0.5
NO_NEW_WORK_AFTER_S = 3.0
DEADLINE_SLACK_S = 0.3
SEEDS = range(12)

Lost = None
Reply = messages.StreamReply | None


@dataclasses.dataclass(frozen=True)
class Event:
    """One step of a history; `process` numbers the starts of nodes."""

    kind: str
    at_s: float
    instance: str = ""
    process: int = 0
    request_id: str = ""
    delivery: int = 0
    detail: Any = None


def _runs_per_request(events: list[Event]) -> Iterator[str]:
    seen: dict[str, Event] = {}
    for event in events:
        is_non_repeatable = (
            event.kind == "run" and not event.request_id.startswith("r")
        )
        if not is_non_repeatable:
            continue
        if event.request_id in seen:
            first = seen[event.request_id]
            yield f"one run: {first} and {event}"
        seen[event.request_id] = event


def _not_run(events: list[Event]) -> Iterator[str]:
    order = {id(event): place for place, event in enumerate(events)}
    by_id: dict[str, list[Event]] = {}
    for event in events:
        if event.kind == "run":
            by_id.setdefault(event.request_id, []).append(event)
    for place, event in enumerate(events):
        related = by_id.get(event.request_id, [])
        here = [run for run in related if run.process == event.process]
        if event.kind == "final" and event.detail == "not_run":
            wrong = related
        elif event.kind == "barred":
            wrong = here
        elif event.kind == "refused" and not event.request_id.startswith("r"):
            wrong = [run for run in here if order[id(run)] < place]
            wrong += [run for run in here if run.delivery == event.delivery]
        else:
            continue
        if wrong:
            yield f"not run: {event} and {wrong[0]}"


def _load(events: list[Event]) -> Iterator[str]:
    for event in events:
        if event.kind == "run" and event.detail[0] > event.detail[1]:
            yield f"load: {event}"


def _closed(events: list[Event]) -> Iterator[str]:
    closed: dict[int, float] = {}
    for event in events:
        if event.kind == "closed":
            closed.setdefault(event.process, event.at_s)
        elif event.kind == "open":
            closed.pop(event.process, None)
        elif event.kind == "run" and event.process in closed:
            since_s = closed[event.process]
            if event.at_s > since_s + NO_NEW_WORK_AFTER_S:
                yield f"closed: {event} since {since_s}"


def _answers(events: list[Event]) -> Iterator[str]:
    for event in events:
        if event.kind != "answered":
            continue
        if event.detail.decode().split("/")[0] != event.request_id:
            yield f"answer: {event}"


def _deadlines(events: list[Event]) -> Iterator[str]:
    ends: dict[int, float] = {}
    for event in events:
        if event.kind == "jump":
            ends = {key: end + event.detail for key, end in ends.items()}
        elif event.kind == "call":
            ends[event.delivery] = event.at_s + event.detail
        elif event.kind in ("answered", "refused", "unknown"):
            end_s = ends.get(event.delivery)
            if end_s is not None and event.at_s > end_s + DEADLINE_SLACK_S:
                yield f"deadline: {event}"


def _stops(events: list[Event]) -> Iterator[str]:
    for event in events:
        if event.kind == "stopped" and event.detail:
            yield f"stop: {event}"


def _errors(events: list[Event]) -> Iterator[str]:
    for event in events:
        if event.kind == "error":
            yield f"error: {event}"


RULES = (
    _errors,
    _runs_per_request,
    _not_run,
    _load,
    _closed,
    _answers,
    _deadlines,
    _stops,
)


def check(events: list[Event]) -> list[str]:
    """Returns the violations in a history."""
    return [found for rule in RULES for found in rule(events)]


class Process:
    """One process of a node; a dead one cannot send anything."""

    def __init__(self, simulation: "Simulation", number: int) -> None:
        self.simulation = simulation
        self.instance = make_instance(number)
        self.number = simulation.next_number()
        self.is_alive = True
        self.is_stale = False
        self.active = 0
        self.snapshots = FakeSnapshots(None)
        self.members = FakeMembers(simulation.now)
        for other in simulation.instances:
            self.members.put(other, 1, simulation.states[other.instance_id])
        self.members.put(self.instance, self.number)
        self.receiver = Receiver(
            self.instance,
            lambda: self.number,
            self.snapshots,
            self.members,
            self,
            self,
            simulation.now,
            lambda: self.is_stale,
        )

    def log(
        self, kind: str, request_id: str, delivery: int, detail: Any
    ) -> None:
        if self.is_alive:
            name = self.instance.instance_id
            now_s = self.simulation.now()
            event = Event(
                kind, now_s, name, self.number, request_id, delivery, detail
            )
            self.simulation.events.append(event)

    async def send(self, request: UpstreamRequest) -> UpstreamResult:
        return await self.simulation.upstreams[self.instance.instance_id].run(
            self, request
        )

    async def call(
        self, instance_id: str, request: messages.CallRequest, timeout_s: float
    ) -> messages.CallReply | LinkFailure:
        raise NotImplementedError

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | LinkFailure:
        while not self.is_alive:
            await asyncio.sleep(3600)
        simulation = self.simulation
        pair = frozenset({instance_id, self.instance.instance_id})
        if pair in simulation.cut:
            return LinkFailure(False, 0, "unreachable")
        reply = await simulation.fence(
            instance_id, request_id, incarnation, timeout_s, moved_to
        )
        return reply or LinkFailure(True, 0, "no reply")


class HistoryUpstream:
    """An upstream that restarts, sheds load and breaks connections."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.is_up = True
        self.boot_s = simulation.now()
        self.boot_number = 1
        self.running: dict[int, asyncio.Future[None]] = {}

    def max_load(self) -> int:
        age_s = self.simulation.now() - self.boot_s + MIN_RESTART_S
        return min(SLOTS, 1 + int((SLOTS - 1) * age_s / RAMP_S))

    async def restart(self) -> None:
        self.is_up = False
        for running in self.running.values():
            if not running.done():
                running.set_result(None)
        down_s = self.simulation.random.choice([MIN_RESTART_S, 1, 5])
        await asyncio.sleep(down_s)
        self.boot_number += 1
        self.boot_s = self.simulation.now()
        self.is_up = True

    async def run(
        self, process: Process, request: UpstreamRequest
    ) -> UpstreamResult:
        while not process.is_alive:
            await asyncio.sleep(3600)
        chance = self.simulation.random.random()
        boot_id = f"b{self.boot_number}"
        if not self.is_up:
            return UpstreamNotRun(NotRunReason.UNREACHABLE, 0, "", "")
        if chance < 0.03:
            reason = NotRunReason.UPSTREAM_REFUSED
            return UpstreamNotRun(reason, 10, boot_id, "")
        request_id = request.body.decode().removesuffix("x")
        delivery = request.headers[0][1]
        process.active += 1
        load = (process.active, self.max_load())
        process.log("run", request_id, int(delivery), load)
        broke = asyncio.get_running_loop().create_future()
        self.running[id(broke)] = broke
        latency_s = self.simulation.random.choice([0.01, 0.05, 0.2, 1.5])
        try:
            await asyncio.wait({broke}, timeout=latency_s)
        finally:
            del self.running[id(broke)]
            process.active -= 1
        if broke.done() or chance > 0.98:
            return UpstreamUnknown(UnknownReason.UPSTREAM_BROKE, "")
        return UpstreamAnswer(200, (), f"{request_id}/".encode(), boot_id)


class Simulation:
    """Three instances, their senders and the injected disturbances."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.events: list[Event] = []
        self.instances = [make_instance(number) for number in range(3)]
        self.ids = [instance.instance_id for instance in self.instances]
        self.states = dict.fromkeys(self.ids, MemberState.ALIVE)
        self.cut: set[frozenset[str]] = set()
        self.zones_out: list[str] = []
        self.drained: list[str] = []
        self.numbers = 0
        self.tasks: set[asyncio.Task[Any]] = set()
        self.upstreams = {name: HistoryUpstream(self) for name in self.ids}
        self.processes = {
            name: Process(self, n) for n, name in self.numbered_ids()
        }
        for process in self.processes.values():
            self.apply_rules(process)

    def now(self) -> float:
        return self.loop.time()

    def log_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        detail = repr(context.get("exception"))
        self.events.append(Event("error", self.now(), detail=detail))

    def next_number(self) -> int:
        self.numbers += 1
        return self.numbers

    def numbered_ids(self) -> list[tuple[int, str]]:
        return list(enumerate(self.ids))

    def spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Configuration and membership, which reach each node after a delay.

    def apply_rules(self, process: Process) -> None:
        snapshot = make_snapshot(
            tuple(self.zones_out),
            tuple(self.drained),
            slots=SLOTS,
            queue=SLOTS,
            ramp_s=RAMP_S,
        )
        process.snapshots.current = snapshot
        instance = process.instance
        is_out = instance.zone in self.zones_out
        reason = is_out or instance.instance_id in self.drained
        process.log("closed" if reason else "open", "", 0, None)

    async def publish(self) -> None:
        for process in self.processes.values():
            await asyncio.sleep(self.random.random() / 2)
            if process.is_alive:
                self.apply_rules(process)

    async def propagate_state(
        self, subject: Process, state: MemberState, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        name = subject.instance.instance_id
        if subject is not self.processes[name]:
            return
        self.states[name] = state
        for other_name in self.ids:
            await asyncio.sleep(self.random.random() / 4)
            is_current = subject is self.processes[name]
            if other_name != name and is_current:
                members = self.processes[other_name].members
                members.put(subject.instance, subject.number, state)

    async def stop_node(self, process: Process, is_planned: bool) -> None:
        if is_planned:
            process.receiver.begin_stop()
            process.log("closed", "", 0, "leaving")
            await self.propagate_state(process, MemberState.LEAVING, 0)
            cut = await process.receiver.drained(30)
            process.log("stopped", "", 0, cut)
        process.is_alive = False
        self.spawn(self.propagate_state(process, MemberState.SUSPECT, 6))
        self.spawn(self.propagate_state(process, MemberState.DEAD, 12))
        await asyncio.sleep(self.random.choice([0.3, 3, 20]))
        name = process.instance.instance_id
        successor = Process(self, self.ids.index(name))
        self.processes[name] = successor
        await asyncio.sleep(0.3)
        self.apply_rules(successor)
        self.spawn(self.propagate_state(successor, MemberState.ALIVE, 0.1))

    async def inject_disturbances(self) -> None:
        while True:
            await asyncio.sleep(self.random.expovariate(1 / 3))
            kind = self.random.choice(
                ["upstream", "kill", "stop", "zone", "drain", "cut", "stale"]
                + ["jump", "none", "none"]
            )
            name = self.random.choice(self.ids)
            process = self.processes[name]
            # A period without changes lets instances stay eligible for long.
            is_calm = 150 < self.now() - self.started_s < 400
            if is_calm and kind in ("kill", "stop", "zone", "drain", "stale"):
                continue
            self.inject_disturbance(kind, name, process)

    def inject_disturbance(
        self, kind: str, name: str, process: Process
    ) -> None:
        upstream = self.upstreams[name]
        is_busy = process.receiver.limit == 0 or not process.is_alive
        if kind == "upstream" and upstream.is_up:
            self.spawn(upstream.restart())
        elif kind in ("kill", "stop") and not is_busy:
            self.spawn(self.stop_node(process, kind == "stop"))
        elif kind == "zone":
            self.spawn(self.toggle(self.zones_out, process.instance.zone))
        elif kind == "drain":
            self.spawn(self.toggle(self.drained, name))
        elif kind == "cut":
            pair = frozenset(self.random.sample(self.ids, 2))
            self.spawn(self.cut_link(pair))
        elif kind == "stale" and process.is_alive:
            self.spawn(self.make_stale(process))
        elif kind == "jump":
            seconds = self.random.choice([0.5, 5, 20])
            assert isinstance(self.loop, virtual_time.VirtualTimeLoop)
            self.loop.jump(seconds)
            self.events.append(Event("jump", self.now(), detail=seconds))

    async def toggle(self, names: list[str], name: str) -> None:
        if name in names:
            return
        names.append(name)
        await self.publish()
        await asyncio.sleep(self.random.choice([1, 5, 15]))
        names.remove(name)
        await self.publish()

    async def cut_link(self, pair: frozenset[str]) -> None:
        self.cut.add(pair)
        await asyncio.sleep(self.random.random() * 5)
        self.cut.discard(pair)

    async def make_stale(self, process: Process) -> None:
        process.is_stale = True
        await asyncio.sleep(2)
        process.is_stale = False

    # Senders.

    async def deliver(
        self, name: str, call: messages.CallRequest, delivery: int
    ) -> Reply:
        """Delivers a call; returns None if the request or reply is lost."""
        process = self.processes[name]
        await asyncio.sleep(self.random.random() / 500)
        chance = self.random.random()
        if chance < 0.03:
            return Lost
        if chance < 0.06:
            # The bytes wait in a socket buffer while the sender gives up.
            self.spawn(self.serve(process, call, delivery, chance * 30))
            return Lost
        serving = asyncio.ensure_future(self.serve(process, call, delivery, 0))
        wait_s = call.remaining_ms / 1000 + 0.7
        if self.random.random() < 0.15:
            wait_s = self.random.random() * 0.3
        done, _ = await asyncio.wait({serving}, timeout=wait_s)
        if not done:
            serving.cancel()
            return Lost
        return serving.result() if self.random.random() > 0.04 else Lost

    async def serve(
        self,
        process: Process,
        call: messages.CallRequest,
        delivery: int,
        after_s: float,
    ) -> Reply:
        await asyncio.sleep(after_s)
        if not process.is_alive:
            return Lost
        process.log("call", call.request_id, delivery, call.remaining_ms / 1000)
        reply = await process.receiver.on_call("s", call)
        self.log_reply(process, call.request_id, delivery, reply)
        return reply if process.is_alive else Lost

    async def fence(
        self,
        name: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> Reply:
        process = self.processes[name]
        await asyncio.sleep(self.random.random() / 500)
        if not process.is_alive or self.random.random() < 0.03:
            return Lost
        fence = messages.CallFence(
            0, request_id, incarnation, int(timeout_s * 1000), moved_to
        )
        serving = asyncio.ensure_future(process.receiver.on_fence("s", fence))
        done, _ = await asyncio.wait({serving}, timeout=timeout_s + 0.1)
        if not done or not process.is_alive:
            return Lost
        reply = serving.result()
        if not isinstance(reply, messages.CallFenceReply):
            self.log_reply(process, request_id, 0, reply)
        elif reply.state == "never_ran" and not moved_to:
            process.log("barred", request_id, 0, "fence")
        return reply if self.random.random() > 0.03 else Lost

    def log_reply(
        self, process: Process, request_id: str, delivery: int, reply: Reply
    ) -> None:
        if isinstance(reply, CallAnswer):
            process.log("answered", request_id, delivery, reply.body)
        elif isinstance(reply, CallUnknown):
            process.log("unknown", request_id, delivery, reply.reason)
        elif isinstance(reply, CallRefused):
            if reply.reason == NotRunReason.REFUSED_FOR_EVER:
                process.log("barred", request_id, delivery, "call")
            if reply.reason not in (
                NotRunReason.KEY_REUSED,
                NotRunReason.MOVED,
            ):
                process.log("refused", request_id, delivery, reply.reason)

    async def attempt(
        self, request_id: str, names: list[str], **options: Any
    ) -> str:
        """Sends one request as a sender does; returns the outcome."""
        for name in names:
            delivery = self.next_number()
            body = request_id + options.get("marker", "")
            incarnation = self.processes[name].number
            call = make_call(
                request_id,
                body=body.encode(),
                repeatable=request_id.startswith("r"),
                keyed=options.get("keyed", False),
                first=options.get("first", False),
                remaining_ms=self.random.choice([100, 500, 3000]),
            )
            call = dataclasses.replace(call, header_values=(str(delivery),))
            reply = await self.deliver(name, call, delivery)
            if reply is Lost and not call.repeatable:
                reply = await self.fence(name, request_id, incarnation, 0.5)
            if isinstance(reply, CallAnswer):
                return "answered"
            if isinstance(reply, CallRefused) and reply.moved_to:
                names.append(reply.moved_to)
                del names[4:]
            is_never = reply == messages.CallFenceReply(0, "never_ran")
            if not isinstance(reply, CallRefused) and not is_never:
                return "unknown"
        return "not_run"

    async def unkeyed(self, request_id: str) -> None:
        names = self.random.sample(self.ids, 2)
        outcome = await self.attempt(request_id, names)
        if not request_id.startswith("r"):
            event = Event("final", self.now(), "", 0, request_id, 0, outcome)
            self.events.append(event)

    async def keyed(self, key: str) -> None:
        is_marked = self.random.random() < 0.6
        for number in range(self.random.choice([1, 2, 3, 4])):
            names = rank(key, self.ids)
            if self.random.random() < 0.3:
                self.random.shuffle(names)
            marker = "x" if self.random.random() < 0.05 else ""
            is_first = is_marked and number == 0
            self.spawn(
                self.attempt(
                    key, names, keyed=True, first=is_first, marker=marker
                )
            )
            gap_s = self.random.choice([0, 0.002, 0.3, 2, 20, 30])
            await asyncio.sleep(gap_s)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            for process in self.processes.values():
                if process.is_alive:
                    process.receiver.tick(self.now())

    async def simulate(self) -> None:
        self.started_s = self.now()
        self.spawn(self.tick())
        self.spawn(self.inject_disturbances())
        while self.now() < self.started_s + DURATION_S:
            await asyncio.sleep(self.random.expovariate(CALLS_PER_S))
            number = self.next_number()
            kind = self.random.choice("rruk")
            if kind == "k":
                self.spawn(self.keyed(f"k{number}"))
            else:
                self.spawn(self.unkeyed(f"{kind}{number}"))


def run_history(seed: int) -> list[Event]:
    async def main() -> list[Event]:
        simulation = Simulation(seed)
        simulation.loop.set_exception_handler(simulation.log_error)
        await simulation.simulate()
        gc.collect()
        return simulation.events

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_in_random_histories(seed: int) -> None:
    # Guards I4 to I10 against combinations of events that no single test has:
    # overload of a cold upstream, late answers, work at a closed instance,
    # wrong "not run", second runs, and stops that cancel requests.
    events = run_history(seed)
    kinds = {event.kind for event in events}
    assert kinds >= {"run", "answered", "refused", "barred", "closed", "jump"}
    assert check(events)[:3] == []


def _forget_outcomes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ledger, "finish", lambda self, key, *_: self.release(key))


def _trust_restarted_homes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        InstanceEligibility, "may_have_run_before", lambda self: False
    )


def _ask_no_other_home(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(HomeClaims, "candidates", lambda *_: [])


def _run_first_attempts_anyway(patch: pytest.MonkeyPatch) -> None:
    original = AtMostOnceCalls._refusal_after_claim

    def refusal_after_claim(
        self: AtMostOnceCalls, job: Any, claim: Claim
    ) -> Any:
        is_first = job.request.is_first_attempt
        return None if is_first else original(self, job, claim)

    patch.setattr(AtMostOnceCalls, "_refusal_after_claim", refusal_after_claim)


def _keep_no_refusals(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ledger, "refuse", lambda *_: True)


def _ignore_the_ramp(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ramp, "allowed", lambda self, rule, now_s: rule.slots)


def _ignore_idle_times(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ramp, "on_send", lambda *_: None)


def _take_work_when_closed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(eligibility, "refusal_reason", lambda *_: None)


def _swap_answers(patch: pytest.MonkeyPatch) -> None:
    previous = [b"none/"]
    original = replies.to_reply

    def to_reply(call_result: Any, *rest: Any) -> messages.CallReply:
        reply = original(call_result, *rest)
        if not isinstance(reply, CallAnswer):
            return reply
        previous.append(reply.body)
        return dataclasses.replace(reply, body=previous[-2])

    patch.setattr(replies, "to_reply", to_reply)


def _ignore_deadlines(patch: pytest.MonkeyPatch) -> None:
    async def wait(self: AtMostOnceCalls, job: Any, deadline_s: float) -> Any:
        job.waiters += 1
        return await job.call_result

    patch.setattr(AtMostOnceCalls, "_wait", wait)


def _lose_entries(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Ledger, "start", lambda *_: True)


def _cut_on_stop(patch: pytest.MonkeyPatch) -> None:
    original = Receiver.drained
    patch.setattr(Receiver, "drained", lambda self, _: original(self, 0))


@pytest.mark.parametrize(
    ("inject_fault", "rule"),
    [
        (_forget_outcomes, "one run"),
        (_trust_restarted_homes, "one run"),
        (_ask_no_other_home, "one run"),
        (_run_first_attempts_anyway, "one run"),
        (_keep_no_refusals, "not run"),
        (_ignore_the_ramp, "load"),
        (_ignore_idle_times, "load"),
        (_take_work_when_closed, "closed"),
        (_swap_answers, "answer"),
        (_ignore_deadlines, "deadline"),
        (_cut_on_stop, "stop"),
        (_lose_entries, "error"),
    ],
)
def test_checker_finds_injected_faults(
    inject_fault: Callable[[pytest.MonkeyPatch], None],
    rule: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a checker or histories that cannot detect a fault.
    inject_fault(monkeypatch)
    found = (check(run_history(seed)) for seed in SEEDS)
    assert any(v.startswith(rule) for violations in found for v in violations)
