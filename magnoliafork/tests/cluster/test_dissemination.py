"""Transfers between neighbours: sizes, limits, bad content, retries."""

import dataclasses
import random

import pytest

from magnoliafork.cluster.dissemination import (
    FAILED_PEER_DELAY_S,
    MAX_OUTGOING_TRANSFERS,
    TRANSFER_TIMEOUT_S,
    Dissemination,
    build_replies,
)
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.tests.cluster.fakes import (
    BAD_PART,
    FakeStore,
    assemble,
    contents_of,
    snapshot_of,
)
from magnoliafork.wire import codec
from magnoliafork.wire.messages import (
    ControlMessage,
    DeltaReply,
    DeltaRequest,
)

MIB = 1024 * 1024
OLD, NEW = snapshot_of(1, contents_of(1)), snapshot_of(2, contents_of(2))
BAD = snapshot_of(2, {"service/a": BAD_PART})
LARGE = snapshot_of(3, {f"p{i}": bytes([i]) * 1_000_000 for i in range(3)})
MANY = snapshot_of(4, {f"service/{i:05}": b"%040d" % i for i in range(9_000)})


class Node:
    """One node's `Dissemination`; as its `ControlLinks`, records messages."""

    def __init__(self, snapshot: Snapshot = OLD) -> None:
        self.sent: list[tuple[str, ControlMessage]] = []
        self.has_room = True
        self.store = FakeStore()
        self.store.offer(snapshot, 0.0)
        rng = random.Random(4)
        self.service = Dissemination(self.store, assemble, self, rng)

    def neighbours(self) -> tuple[str, ...]:
        return ("a", "b", "c")

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        if self.has_room:
            self.sent.append((instance_id, message))
        return self.has_room

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        raise AssertionError("Dissemination must not set link targets")

    def report_version(
        self, new: Snapshot, *peers: str
    ) -> tuple[str, DeltaRequest]:
        """Reports the version of peers and returns the resulting request."""
        for peer in peers:
            self.service.on_peer_version(peer, new.version, 0.0)
        ((peer, message),) = self.sent
        assert isinstance(message, DeltaRequest)
        self.sent.clear()
        return peer, message

    def receive(self, peer: str, *replies: DeltaReply) -> None:
        for reply in replies:
            self.service.on_delta_reply(peer, reply, 0.0)


def replies_to(request: DeltaRequest, new: Snapshot) -> list[DeltaReply]:
    entries = {part.name: part for part in OLD.manifest.parts}
    base = entries if request.base_number else None
    return build_replies(request.transfer_id, new, base)


def test_a_delta_carries_only_what_changed() -> None:
    # Guards against sending a full set of 345 KB for every change.
    node = Node()
    node.store.offer(NEW, 0.0)
    node.sent.clear()
    for digest in (OLD.version.digest, "unknown"):
        request = DeltaRequest(9, 1, digest)
        node.service.on_delta_request("a", request, 0.0)
    (_, delta), (_, full) = node.sent
    assert isinstance(delta, DeltaReply)
    assert isinstance(full, DeltaReply)
    assert [entry.name for entry in delta.changed] == ["service/a"]
    assert (len(delta.contents), delta.is_full) == (1, False)
    assert (len(full.contents), full.is_full) == (3, True)


@pytest.mark.parametrize("snapshot", [LARGE, MANY])
def test_large_sets_arrive_in_replies_below_one_mebibyte(
    snapshot: Snapshot,
) -> None:
    # Guards against frames that the receiving link refuses as too large.
    node = Node()
    peer, request = node.report_version(snapshot, "a")
    replies = replies_to(request, snapshot)
    assert all(len(codec.encode(reply)) < MIB for reply in replies)
    assert len(replies) > 1
    node.receive(peer, *replies)
    assert node.store.current == snapshot


def test_only_two_large_transfers_are_sent_at_a_time() -> None:
    # Guards against a node that is overloaded when many nodes join at once,
    # and against replies that are lost when a write buffer is full.
    node = Node(LARGE)
    node.has_room = False
    request = DeltaRequest(9, 0, "")
    for peer in ("a", "b"):
        node.service.on_delta_request(peer, request, 0.0)
    node.has_room = True
    node.service.on_delta_request("c", request, 0.0)
    ((peer, busy),) = node.sent
    assert isinstance(busy, DeltaReply)
    assert (peer, busy.is_busy) == ("c", True)
    assert node.service.outgoing_count == MAX_OUTGOING_TRANSFERS
    node.service.tick(1.0)
    assert len(node.sent) == 1 + 2 * 3
    node.service.tick(TRANSFER_TIMEOUT_S)
    assert node.service.outgoing_count == 0


@pytest.mark.parametrize("cause", ["silence", "busy", "link down"])
def test_another_peer_is_asked_after_a_failure(cause: str) -> None:
    # Guards against a node that keeps waiting for one slow or lost peer.
    node = Node()
    first, request = node.report_version(NEW, "a", "b")
    if cause == "silence":
        node.service.tick(TRANSFER_TIMEOUT_S)
    elif cause == "busy":
        (reply,) = replies_to(request, NEW)
        node.receive(first, dataclasses.replace(reply, is_busy=True))
    else:
        node.service.on_link_down(first, 1.0)
    second, request = node.report_version(NEW)
    assert {first, second} == {"a", "b"}
    outdated = dataclasses.replace(request, transfer_id=request.transfer_id - 1)
    node.receive(first, *replies_to(outdated, LARGE))
    node.receive(second, *replies_to(request, NEW) * 2)
    assert node.store.version == NEW.version


def test_content_that_does_not_match_its_digest_is_not_applied() -> None:
    # Guards against applying corrupt content from a peer, and against
    # repeating a delta request when the delta did not fit its base.
    node = Node()
    peer, request = node.report_version(NEW, "a")
    (reply,) = replies_to(request, NEW)
    node.receive(peer, dataclasses.replace(reply, contents=(b"other",)))
    peer, request = node.report_version(NEW)
    assert request.base_number == 0
    (reply,) = replies_to(request, NEW)
    entry = dataclasses.replace(reply.changed[0], digest="00")
    node.receive(peer, dataclasses.replace(reply, changed=(entry,)))
    assert node.store.version == OLD.version
    assert node.sent == []
    node.service.tick(FAILED_PEER_DELAY_S)
    peer, request = node.report_version(NEW)
    node.receive(peer, *replies_to(request, NEW))
    assert node.store.version == NEW.version


@pytest.mark.parametrize(("version", "number"), [(BAD, 1), (NEW, 99)])
def test_an_unusable_version_is_requested_once(
    version: Snapshot, number: int
) -> None:
    # Guards against fetching an invalid version, or one in an unsupported
    # format, again and again.
    node = Node()
    peer, request = node.report_version(version, "a")
    (reply,) = replies_to(request, version)
    node.receive(peer, dataclasses.replace(reply, format=number))
    node.service.on_peer_version("b", version.version, 0.0)
    node.service.tick(3600.0)
    assert node.store.version == OLD.version
    assert node.sent == []
    node.report_version(LARGE, "c")
