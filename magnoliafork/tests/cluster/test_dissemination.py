"""Transfers between neighbours: sizes, limits, bad content, other peers."""

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
from magnoliafork.model.manifest import PartRef
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version
from magnoliafork.tests.cluster.fakes import (
    BAD_PART,
    FakeStore,
    assemble,
    contents_of,
    snapshot_of,
)
from magnoliafork.wire import codec
from magnoliafork.wire.messages import (
    Announce,
    ControlMessage,
    DeltaReply,
    DeltaRequest,
)

MIB = 1024 * 1024
OLD, NEW = snapshot_of(1, contents_of(1)), snapshot_of(2, contents_of(2))
LARGE = snapshot_of(3, {f"p{i}": bytes([i]) * 1_000_000 for i in range(3)})


class Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, ControlMessage]] = []
        self.accepts = True

    def neighbours(self) -> tuple[str, ...]:
        return ("a", "b", "c", "d")

    def send(self, instance_id: str, message: ControlMessage) -> bool:
        if self.accepts:
            self.sent.append((instance_id, message))
        return self.accepts

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        raise AssertionError("targets belong to the control plane")

    def take(self, kind: type) -> list[tuple[str, ControlMessage]]:
        taken = [row for row in self.sent if isinstance(row[1], kind)]
        self.sent = [row for row in self.sent if not isinstance(row[1], kind)]
        return taken


class Node:
    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.links = Links()
        self.store = FakeStore()
        rng = random.Random(4)
        self.service = Dissemination(self.store, assemble, self.links, rng)
        if snapshot is not None:
            self.store.offer(snapshot, 0.0)
            self.links.sent.clear()

    def hears(self, peer: str, version: Version, now_s: float = 0.0) -> None:
        self.service.on_peer_version(peer, version, now_s)

    def request(self) -> tuple[str, DeltaRequest]:
        ((peer, message),) = self.links.take(DeltaRequest)
        assert isinstance(message, DeltaRequest)
        return peer, message

    def receives(
        self, peer: str, replies: list[DeltaReply], now_s: float = 0.0
    ) -> None:
        for reply in replies:
            self.service.on_delta_reply(peer, reply, now_s)


def replies_to(
    request: DeltaRequest, new: Snapshot, base: Snapshot | None = None
) -> list[DeltaReply]:
    entries = None
    if base is not None:
        entries = {part.name: part for part in base.manifest.parts}
    return build_replies(request.transfer_id, new, entries)


def test_a_new_version_is_announced_to_peers_that_lack_it() -> None:
    # Guards against a version that stays on one node, and against echoes.
    node = Node(OLD)
    node.hears("a", NEW.version)
    peer, request = node.request()
    node.receives(peer, replies_to(request, NEW, OLD))
    assert node.store.version == NEW.version
    announce = Announce(2, NEW.version.digest)
    assert node.links.sent == [(peer, announce) for peer in ("b", "c", "d")]


def test_a_served_delta_carries_only_what_changed() -> None:
    # Guards against a full set of 345 KB for every change.
    node = Node(OLD)
    node.store.offer(NEW, 0.0)
    base = DeltaRequest(9, 1, OLD.version.digest)
    node.service.on_delta_request("a", base, 0.0)
    unknown = DeltaRequest(9, 1, "other")
    node.service.on_delta_request("b", unknown, 0.0)
    (_, delta), (_, full) = node.links.take(DeltaReply)
    assert isinstance(delta, DeltaReply)
    assert isinstance(full, DeltaReply)
    assert [entry.name for entry in delta.changed] == ["service/orders"]
    assert len(delta.contents) == 1
    assert not delta.is_full
    assert full.is_full
    assert len(full.changed) == 3


def test_replies_of_a_large_set_stay_below_one_mebibyte() -> None:
    # Guards against frames that the receiver's link refuses.
    many = {f"service/{index:05}": b"%040d" % index for index in range(9_000)}
    for snapshot in (LARGE, snapshot_of(4, many)):
        node = Node(OLD)
        node.hears("a", snapshot.version)
        peer, request = node.request()
        replies = replies_to(request, snapshot)
        assert all(len(codec.encode(reply)) < MIB for reply in replies)
        assert len(replies) > 1
        node.receives(peer, replies)
        assert node.store.current == snapshot


def test_only_two_large_transfers_leave_at_a_time() -> None:
    # Guards against a node that is overloaded by a herd of joiners.
    node = Node(LARGE)
    request = DeltaRequest(9, 0, "")
    for peer in ("a", "b", "c"):
        node.service.on_delta_request(peer, request, 0.0)
    assert node.service.outgoing_count == MAX_OUTGOING_TRANSFERS
    (busy,) = [
        peer
        for peer, reply in node.links.sent
        if isinstance(reply, DeltaReply) and reply.is_busy
    ]
    assert busy == "c"
    node.service.tick(TRANSFER_TIMEOUT_S)
    assert node.service.outgoing_count == 0


def test_a_full_write_buffer_delays_replies_without_loss() -> None:
    # Guards against a transfer with a hole when a peer reads slowly.
    node = Node(NEW)
    node.links.accepts = False
    node.service.on_delta_request("a", DeltaRequest(9, 0, ""), 0.0)
    node.links.accepts = True
    node.service.tick(0.25)
    assert len(node.links.take(DeltaReply)) == 1
    assert node.service.outgoing_count == 0


@pytest.mark.parametrize("cause", ["silence", "busy", "link down"])
def test_another_peer_is_tried(cause: str) -> None:
    # Guards against a node that waits for one slow or lost peer.
    node = Node(OLD)
    node.hears("a", NEW.version)
    node.hears("b", NEW.version)
    first, request = node.request()
    if cause == "silence":
        node.service.tick(TRANSFER_TIMEOUT_S)
    elif cause == "busy":
        (reply,) = replies_to(request, NEW, OLD)
        node.receives(first, [dataclasses.replace(reply, is_busy=True)])
    else:
        node.service.on_link_down(first, 1.0)
    second, request = node.request()
    assert {first, second} == {"a", "b"}
    node.receives(second, replies_to(request, NEW, OLD))
    assert node.store.version == NEW.version


def test_content_that_does_not_match_its_digest_is_not_applied() -> None:
    # Guards against a corrupt peer, and against a bad base of a delta.
    node = Node(OLD)
    node.hears("a", NEW.version)
    peer, request = node.request()
    (reply,) = replies_to(request, NEW, OLD)
    node.receives(peer, [dataclasses.replace(reply, contents=(b"other",))])
    assert node.store.version == OLD.version
    _, request = node.request()
    assert request.base_number == 0
    wrong = PartRef("operations", "00", 2)
    (reply,) = replies_to(request, NEW)
    entries = (dataclasses.replace(reply.changed[0], digest=wrong.digest),)
    node.receives(peer, [dataclasses.replace(reply, changed=entries)])
    assert node.store.version == OLD.version
    assert node.links.sent == []
    node.service.tick(FAILED_PEER_DELAY_S)
    peer, request = node.request()
    node.receives(peer, replies_to(request, NEW))
    assert node.store.version == NEW.version


def test_late_and_doubled_replies_are_ignored() -> None:
    # Guards against replies of an abandoned transfer that mix into another.
    node = Node(OLD)
    node.hears("a", NEW.version)
    peer, request = node.request()
    late = dataclasses.replace(request, transfer_id=request.transfer_id - 1)
    node.receives(peer, replies_to(late, LARGE))
    node.receives("b", replies_to(request, LARGE))
    assert node.store.version == OLD.version
    replies = replies_to(request, NEW, OLD)
    node.receives(peer, replies + replies)
    assert node.store.version == NEW.version


def test_a_rejected_version_is_never_asked_for_again() -> None:
    # Guards against a bad version that is fetched over and over.
    bad = snapshot_of(2, {"service/orders": BAD_PART})
    node = Node(OLD)
    node.hears("a", bad.version)
    peer, request = node.request()
    node.receives(peer, replies_to(request, bad))
    assert node.store.version == OLD.version
    assert node.store.rejected == {bad.version: ("bad part",)}
    node.hears("b", bad.version)
    node.service.tick(3600.0)
    assert node.links.take(DeltaRequest) == []
    node.hears("c", LARGE.version, 3600.0)
    assert node.request()[0] == "c"


def test_a_version_in_an_unknown_format_is_asked_for_once() -> None:
    # Guards against full transfers in a loop between two releases.
    node = Node(OLD)
    node.hears("a", NEW.version)
    peer, request = node.request()
    (reply,) = replies_to(request, NEW, OLD)
    node.receives(peer, [dataclasses.replace(reply, format=99)])
    node.service.tick(3600.0)
    assert node.store.version == OLD.version
    assert not node.service.is_obtainable(NEW.version)
    assert node.links.sent == []
