"""Fake fleet with injected faults, and a checker of recorded histories.

The fleet stands in for `PeerCalls`, the membership table and the snapshot in
force; it runs in virtual time.
"""

import asyncio
import dataclasses
import functools
import random
from collections import Counter
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any, ParamSpec

from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.request import Answered, NotRun, Outcome
from magnoliafork.model.rules import (
    Origin,
    Priority,
    RouteRule,
    RuleSet,
    WeightedTarget,
)
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version
from magnoliafork.proxy.sender import IngressRequest, Sender
from magnoliafork.tests import virtual_time
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

P = ParamSpec("P")
SILENT_LINK_S = 1.0
LATE_COPY_S = 3.0
REGIONS = ("r0", "r0", "r1")


def in_virtual_time(
    test: Callable[P, Coroutine[Any, Any, None]],
) -> Callable[P, None]:
    """Turns a coroutine function into a test that runs in virtual time."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        virtual_time.run(test(*args, **kwargs))

    return run


def route(path: str = "/*", **changes: object) -> RouteRule:
    rule = RouteRule(
        method="*",
        host="*",
        path=path,
        targets=(WeightedTarget("orders", 1),),
        repeatable=False,
        deadline_ms=2000,
        retries=2,
        hedge_ms=0,
        priority=Priority.NORMAL,
        origin=Origin(1, "tests"),
    )
    return dataclasses.replace(rule, **changes)  # type: ignore[arg-type]


def snapshot(*routes: RouteRule, zones_out: tuple[str, ...] = ()) -> Snapshot:
    rules = RuleSet({}, routes, frozenset(), frozenset(zones_out), frozenset())
    return Snapshot(Version(1, ""), Manifest(1, 1, ()), {}, rules)


class FirstMatch:
    """Matches routes by path prefix, in the order of the rules."""

    def __init__(self, rules: RuleSet) -> None:
        self._routes = rules.routes

    def match(self, method: str, host: str, path: str) -> RouteRule | None:
        for rule in self._routes:
            if path.startswith(rule.path.removesuffix("*")):
                return rule
        return None


@dataclasses.dataclass
class Node:
    """Receiver with a ledger, which is lost when the node restarts."""

    incarnation: int = 1
    ledger: dict[str, asyncio.Future[messages.CallReply]] = dataclasses.field(
        default_factory=dict
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    moved_to: str = ""


def _member(index: int) -> Member:
    zone = index % 3
    name, region = f"orders-{index}", REGIONS[zone]
    instance = Instance(name, "orders", f"z{zone}", region, "::1", 1)
    return Member(instance, 1, MemberState.ALIVE)


class Fleet:
    """Instances of the service `orders`; faults come from lists per node."""

    def __init__(self, count: int = 6, service_s: float = 0.01) -> None:
        self.current: Snapshot | None = snapshot(route())
        self.change_count = 0
        self.service_s = service_s
        self.members = [_member(index) for index in range(count)]
        self.nodes = {m.instance.instance_id: Node() for m in self.members}
        self.random_fault: Callable[[], str] = str
        self.answer_to: Callable[[str], bytes] = str.encode
        self.requests: list[messages.CallRequest] = []
        self.runs: list[tuple[str, str]] = []
        self.calls: list[tuple[str, str]] = []
        self.cancelled: list[str] = []
        self.changed_at_s = 0.0
        self.wrong_calls = 0
        self.late: set[asyncio.Task[object]] = set()

    def get(self, instance_id: str) -> Member | None:
        return {m.instance.instance_id: m for m in self.members}.get(
            instance_id
        )

    def members_of(self, service: str) -> Sequence[Member]:
        return self.members

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        return now_s

    def sender(
        self,
        seed: int = 1,
        zone: str = "z0",
        is_view_current: Callable[[], bool] = lambda: True,
    ) -> Sender:
        return Sender(
            self,
            self,
            self,
            FirstMatch,
            own_zone=zone,
            own_region="r0",
            is_view_current=is_view_current,
            rng=random.Random(seed),
            clock=asyncio.get_running_loop().time,
        )

    async def call(
        self, instance_id: str, request: messages.CallRequest, timeout_s: float
    ) -> messages.CallReply | LinkFailure:
        node = self.nodes[instance_id]
        self.calls.append((instance_id, request.path))
        self.requests.append(request)
        self._check_eligible(instance_id)
        fault = self._next_fault(node)
        incarnation = node.incarnation
        lost = LinkFailure(True, incarnation, fault)
        if fault == "unsent":
            return LinkFailure(False, 0, fault)
        if fault == "late_copy":
            self._later(self._deliver_late(instance_id, node, request))
        if fault == "reply_lost":
            self._later(self._serve(instance_id, node, request))
        if fault in ("late_copy", "reply_lost", "silent"):
            await asyncio.sleep(min(SILENT_LINK_S, timeout_s))
            return lost
        if fault == "dies_after":
            self._later(self._serve(instance_id, node, request))
            await asyncio.sleep(self.service_s / 2)
        if fault.startswith("dies"):
            node.incarnation += 1
            node.ledger = {}
            return lost
        if fault in ("overloaded", "leaving"):
            return messages.CallRefused(0, fault, 100, 8, 8, "")
        if fault == "unknown":
            self.runs.append((request.request_id, request.path))
            return messages.CallUnknown(0, "upstream_broke")
        if node.moved_to:
            return messages.CallRefused(0, "moved", 0, 0, 8, node.moved_to)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._serve(instance_id, node, request)
        except TimeoutError:
            return lost
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return reply if node.incarnation == incarnation else lost

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | LinkFailure:
        node = self.nodes[instance_id]
        await asyncio.sleep(0.001)
        if self._next_fault(node) in ("silent", "unsent"):
            await asyncio.sleep(min(SILENT_LINK_S, timeout_s))
            return LinkFailure(False, 0, "silent")
        if node.incarnation != incarnation:
            state = messages.FenceState.OTHER_INCARNATION
            return messages.CallFenceReply(0, state.value)
        if request_id in node.ledger:
            try:
                async with asyncio.timeout(timeout_s):
                    return await asyncio.shield(node.ledger[request_id])
            except TimeoutError:
                return LinkFailure(True, incarnation, "timeout")
        tombstone = asyncio.get_running_loop().create_future()
        tombstone.set_result(
            messages.CallRefused(0, "refused_for_ever", 0, 0, 8, "")
        )
        node.ledger[request_id] = tombstone
        return messages.CallFenceReply(0, messages.FenceState.NEVER_RAN.value)

    async def settle(self) -> None:
        """Waits until no late copy of a request is left."""
        while self.late:
            await asyncio.wait(self.late)
            await asyncio.sleep(0)

    def change(self, current: Snapshot, leaving: Collection[str] = ()) -> None:
        """Puts a snapshot in force and sets which instances are leaving."""
        self.current = current
        self.members = [
            dataclasses.replace(
                member,
                state=MemberState.LEAVING
                if member.instance.instance_id in leaving
                else MemberState.ALIVE,
            )
            for member in self.members
        ]
        self.change_count += 1
        self.changed_at_s = asyncio.get_running_loop().time()

    def _check_eligible(self, instance_id: str) -> None:
        member = self.get(instance_id)
        assert member is not None
        assert self.current is not None
        is_eligible = (
            member.state is MemberState.ALIVE
            and member.instance.zone not in self.current.rules.zones_out
        )
        # A call at the exact time of a change may still follow the old view.
        is_settled = asyncio.get_running_loop().time() > self.changed_at_s
        if is_settled and not is_eligible:
            self.wrong_calls += 1

    def _next_fault(self, node: Node) -> str:
        if node.faults:
            return node.faults.pop(0)
        return self.random_fault()

    def _later(self, delivery: Coroutine[Any, Any, object]) -> None:
        task = asyncio.create_task(delivery)
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def _deliver_late(
        self, instance_id: str, node: Node, request: messages.CallRequest
    ) -> None:
        """Delivers a copy from a socket buffer long after the link failed."""
        incarnation = node.incarnation
        await asyncio.sleep(LATE_COPY_S)
        if node.incarnation == incarnation:
            await self._serve(instance_id, node, request)

    async def _serve(
        self, instance_id: str, node: Node, request: messages.CallRequest
    ) -> messages.CallReply:
        if not request.repeatable and request.request_id in node.ledger:
            return await asyncio.shield(node.ledger[request.request_id])
        done = asyncio.get_running_loop().create_future()
        if not request.repeatable:
            node.ledger[request.request_id] = done
        self.runs.append((request.request_id, request.path))
        await asyncio.sleep(self.service_s)
        body = self.answer_to(request.path)
        answer = messages.CallAnswer(
            0, 200, ("X-From",), (instance_id,), body, 1, 8
        )
        done.set_result(answer)
        return answer


def make_ingress_request(
    path: str, key: str = "", first: bool = False
) -> IngressRequest:
    return IngressRequest(
        "POST", "h", path, idempotency_key=key, is_first_attempt=first
    )


def violations(
    fleet: Fleet, outcomes: dict[str, Outcome], repeatable_prefix: str
) -> set[str]:
    """Checks a history in which every request has its own path."""
    runs = Counter(path for _, path in fleet.runs)
    found = (
        {"call to an instance that takes none"} if fleet.wrong_calls else set()
    )
    for path, outcome in outcomes.items():
        if isinstance(outcome, NotRun) and runs[path]:
            found.add("not run, but it ran")
        if isinstance(outcome, Answered) and outcome.body != path.encode():
            found.add("answer of another request")
        if not path.startswith(repeatable_prefix) and runs[path] > 1:
            found.add("ran more than once")
    return found
