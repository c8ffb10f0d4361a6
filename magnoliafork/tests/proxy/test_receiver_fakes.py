"""Fakes of the objects that a receiver uses, and a test of the fakes."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import Origin, Priority, RuleSet, ServiceRule
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version
from magnoliafork.proxy.receiver import Receiver
from magnoliafork.proxy.upstream import (
    UpstreamAnswer,
    UpstreamRequest,
    UpstreamResult,
)
from magnoliafork.tests import virtual_time
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

SERVICE = "commissions"
LONG_S = 1000.0


def make_snapshot(
    zones_out: Sequence[str] = (),
    drained: Sequence[str] = (),
    slots: int = 3,
    queue: int = 3,
    ramp_s: float = 0.0,
    number: int = 1,
) -> Snapshot:
    rule = ServiceRule(
        name=SERVICE,
        slots=slots,
        connections=100,
        queue=queue,
        priority=Priority.NORMAL,
        ramp_s=ramp_s,
        ramp_start=1,
        origin=Origin(1, "Marie"),
    )
    rules = RuleSet(
        services={SERVICE: rule},
        routes=(),
        zones=frozenset({"joliette", "rawdon"}),
        zones_out=frozenset(zones_out),
        drained=frozenset(drained),
    )
    manifest = Manifest(1, number, ())
    return Snapshot(Version(number, ""), manifest, {}, rules)


def make_instance(number: int) -> Instance:
    zone = ("joliette", "rawdon")[number % 2]
    return Instance(f"c-{number}", SERVICE, zone, "lanaudiere", "127.0.0.1", 1)


def make_call(
    request_id: str = "id-1",
    *,
    body: bytes = b"pay",
    repeatable: bool = False,
    remaining_ms: int = 1000,
    priority: Priority = Priority.NORMAL,
    keyed: bool = False,
    first: bool = False,
) -> messages.CallRequest:
    return messages.CallRequest(
        stream_id=7,
        request_id=request_id,
        service_name=SERVICE,
        method="POST",
        path="/commissions",
        header_names=("X-Id",),
        header_values=(request_id,),
        body=body,
        repeatable=repeatable,
        priority=int(priority),
        traceparent="",
        remaining_ms=remaining_ms,
        is_keyed=keyed,
        is_first_attempt=first,
    )


def make_fence(
    request_id: str = "id-1",
    incarnation: int = 1,
    moved_to: str = "",
    remaining_ms: int = 1000,
) -> messages.CallFence:
    return messages.CallFence(
        3, request_id, incarnation, remaining_ms, moved_to
    )


class FakeSnapshots:
    def __init__(self, snapshot: Snapshot | None) -> None:
        self.current = snapshot


class FakeMembers:
    """Membership view of one node; `changed_s` gives the ages."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.members: dict[str, Member] = {}
        self.changed_s: dict[str, float] = {}
        self.change_count = 0

    def put(
        self,
        instance: Instance,
        incarnation: int = 1,
        state: MemberState = MemberState.ALIVE,
        age_s: float = 0.0,
    ) -> None:
        member = Member(instance, incarnation, state)
        self.members[instance.instance_id] = member
        self.changed_s[instance.instance_id] = self.now() - age_s
        self.change_count += 1

    def get(self, instance_id: str) -> Member | None:
        return self.members.get(instance_id)

    def members_of(self, service: str) -> Sequence[Member]:
        return [self.members[key] for key in sorted(self.members)]

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        return now_s - self.changed_s[instance_id]


class FakeUpstream:
    """Answers after `latency_s` with what `answer` returns."""

    def __init__(self, latency_s: float = 0.1) -> None:
        self.latency_s = latency_s
        self.runs: list[UpstreamRequest] = []
        self.completed = 0
        self.answer: Callable[[UpstreamRequest], UpstreamResult] = (
            lambda request: UpstreamAnswer(200, (), b"ok", "b1")
        )

    async def send(self, request: UpstreamRequest) -> UpstreamResult:
        self.runs.append(request)
        await asyncio.sleep(self.latency_s)
        self.completed += 1
        return self.answer(request)


class FakePeers:
    """Delivers fences to other receivers after 1 ms."""

    def __init__(self) -> None:
        self.receivers: dict[str, Receiver] = {}
        self.fences: list[str] = []

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
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
        self.fences.append(instance_id)
        receiver = self.receivers.get(instance_id)
        await asyncio.sleep(0.001)
        if receiver is None:
            return LinkFailure(False, 0, "refused")
        fence = messages.CallFence(
            0, request_id, incarnation, int(timeout_s * 1000), moved_to
        )
        return await receiver.on_fence(moved_to, fence)


@dataclasses.dataclass
class Node:
    """A receiver and the fakes that it uses."""

    receiver: Receiver
    snapshots: FakeSnapshots
    members: FakeMembers
    upstream: FakeUpstream
    is_stale: bool = False


def make_node(
    number: int = 0,
    *,
    snapshot: Snapshot | None = None,
    peers: FakePeers | None = None,
    latency_s: float = 0.1,
    fresh: bool = False,
    count: int = 3,
) -> Node:
    """Creates a node that has been eligible for `LONG_S`, unless `fresh`."""
    loop = asyncio.get_running_loop()
    started_s = loop.time() - (0.0 if fresh else LONG_S)
    clock = [started_s]

    def now() -> float:
        return clock[0] if clock else loop.time()

    members = FakeMembers(loop.time)
    for other in range(count):
        members.put(make_instance(other), age_s=loop.time() - started_s)
    node = Node(
        None,  # type: ignore[arg-type]
        FakeSnapshots(snapshot or make_snapshot()),
        members,
        FakeUpstream(latency_s),
    )
    peers = peers or FakePeers()
    node.receiver = Receiver(
        make_instance(number),
        lambda: 1,
        node.snapshots,
        members,
        node.upstream,
        peers,
        now,
        lambda: node.is_stale,
    )
    peers.receivers[make_instance(number).instance_id] = node.receiver
    clock.clear()
    return node


def test_fake_node_answers() -> None:
    # Guards against fakes that make every other test pass vacuously.
    async def main() -> messages.CallReply:
        return await make_node().receiver.on_call("s", make_call())

    reply = virtual_time.run(main())
    assert isinstance(reply, messages.CallAnswer)
    assert reply.body == b"ok"
