"""Heartbeats, suspicion and the check for pauses of the process."""

import random

from magnoliafork.cluster.detector import Detector, LoadHint
from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.model.instance import Member, MemberState
from magnoliafork.model.version import NO_VERSION
from magnoliafork.tests.cluster.fakes import dozen
from magnoliafork.wire.messages import (
    ControlMessage,
    Heartbeat,
    ProbeReply,
    ProbeRequest,
)

FLEET = [Member(one, 1, MemberState.ALIVE) for one in dozen(5)]
SELF, A, B, C, D = (member.instance.instance_id for member in FLEET)


class Harness:
    """One detector whose peers answer heartbeats unless silent."""

    def __init__(self) -> None:
        self.table = MembershipTable(FLEET[0], 0.0)
        self.table.merge(FLEET[1:], 0.0)
        self.sent: list[tuple[str, ControlMessage]] = []
        self.silent: set[str] = set()
        self.now_s = 0.0
        self.heartbeats = 0
        self.detector = Detector(
            self.table,
            self,
            lambda: LoadHint(1, 12),
            lambda: (NO_VERSION, ""),
            random.Random(2),
            0.0,
        )
        self.detector.set_targets((A, B, C), 0.0)
        for peer in (A, B, C):
            self.detector.on_link_up(peer, 0.0)

    def neighbours(self) -> tuple[str, ...]:
        return (A, B, C)

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        raise AssertionError("targets belong to the control plane")

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        self.sent.append((instance_id, message))
        return True

    def run(self, until_s: float) -> list[Member]:
        suspects: list[Member] = []
        while self.now_s < until_s:
            self.now_s += 0.25
            self.detector.check_clock(self.now_s)
            suspects += self.detector.tick(self.now_s)
            self.answer()
        return suspects

    def answer(self) -> None:
        heartbeats = self.of_kind(Heartbeat)
        self.heartbeats += len(heartbeats)
        self.sent = [row for row in self.sent if row not in heartbeats]
        for peer, message in heartbeats:
            assert isinstance(message, Heartbeat)
            if peer not in self.silent and not message.is_reply:
                reply = Heartbeat(True, 0, "", "", 2, 9, message.sequence)
                self.detector.on_heartbeat(peer, reply, self.now_s)
                self.detector.on_heard(peer, self.now_s)

    def of_kind(self, kind: type) -> list[tuple[str, ControlMessage]]:
        return [row for row in self.sent if isinstance(row[1], kind)]


def test_a_silent_peer_is_suspected_after_a_failed_indirect_probe() -> None:
    # Guards against a dead instance that stays in use.
    harness = Harness()
    harness.run(4.0)
    harness.silent = {A}
    assert harness.run(9.0) == []
    assert {peer for peer, _ in harness.sent} <= {B, C}
    assert len(harness.of_kind(ProbeRequest)) == 2
    (suspect,) = harness.run(13.0)
    assert suspect.instance.instance_id == A
    assert suspect.state is MemberState.SUSPECT


def test_a_peer_that_helpers_reach_is_not_suspected() -> None:
    # Guards against one broken path that takes a live instance out.
    harness = Harness()
    harness.silent = {A}
    suspects = []
    for until_s in range(1, 60):
        suspects += harness.run(until_s)
        for peer, message in harness.of_kind(ProbeRequest):
            assert isinstance(message, ProbeRequest)
            reply = ProbeReply(message.probe_id, A, True)
            harness.detector.on_probe_reply(peer, reply, harness.now_s)
        harness.sent.clear()
    assert suspects == []


def test_a_node_that_hears_nobody_suspects_nobody() -> None:
    # Guards against an isolated node that reports the whole fleet dead.
    harness = Harness()
    harness.silent = {A, B, C}
    assert harness.run(60.0) == []


def test_a_helper_reports_what_it_reached() -> None:
    # Guards against helpers that confirm a dead instance or deny a live one.
    harness = Harness()
    harness.run(1.0)
    detector = harness.detector
    detector.on_probe_request(B, ProbeRequest(1, A), 1.0)
    detector.on_probe_request(B, ProbeRequest(2, D), 1.0)
    assert set(detector.probe_targets) == {D}
    detector.on_probe_request(B, ProbeRequest(3, "unknown"), 1.0)
    harness.run(4.0)
    detector.on_probe_request(C, ProbeRequest(4, D), 4.0)
    detector.on_link_up(D, 4.5)
    replies = {message for _, message in harness.of_kind(ProbeReply)}
    assert replies == {
        ProbeReply(1, A, True),
        ProbeReply(2, D, False),
        ProbeReply(3, "unknown", False),
        ProbeReply(4, D, True),
    }
    assert not detector.probe_targets


def test_one_exchange_per_interval_serves_both_ends() -> None:
    # Guards against heartbeats that use up the 3 KB/s of control work.
    harness = Harness()
    harness.run(4.0)
    harness.heartbeats = 0
    harness.run(44.0)
    assert harness.heartbeats <= 3 * 40 / 2
    assert harness.detector.peer_loads[A] == LoadHint(2, 9)


def test_a_paused_node_is_stale_until_new_heartbeats_were_answered() -> None:
    # Guards against decisions on a view from before the pause.
    harness = Harness()
    harness.run(4.0)
    assert not harness.detector.is_stale_at(6.9)
    harness.now_s = 30.0
    assert harness.detector.is_stale_at(30.0)
    assert not harness.detector.is_view_stale
    old = Heartbeat(True, 0, "", "", 0, 0, 1)
    assert harness.detector.check_clock(30.0)
    for peer in (A, B, C):
        harness.detector.on_heartbeat(peer, old, 30.0)
    assert harness.detector.is_view_stale
    harness.silent = {A, B, C}
    assert harness.run(50.0) == []
    assert harness.detector.is_view_stale
    harness.silent = {A, B}
    harness.run(53.0)
    assert harness.detector.is_view_stale
    harness.silent = {A}
    harness.run(56.0)
    assert not harness.detector.is_view_stale
