"""Failure detector: peers that do not answer, and pauses of this process."""

import dataclasses
import itertools
import random
from collections.abc import Callable

from magnoliafork.cluster.membership import MembershipTable
from magnoliafork.model.instance import Member, MemberState
from magnoliafork.model.version import Version
from magnoliafork.wire.api import ControlLinks
from magnoliafork.wire.messages import Heartbeat, ProbeReply, ProbeRequest

HEARTBEAT_INTERVAL_S = 2.0
MISSED_HEARTBEATS = 3
SILENCE_LIMIT_S = HEARTBEAT_INTERVAL_S * MISSED_HEARTBEATS
# Used by the node with the higher id on a link. It waits longer, so that
# normally one exchange per interval serves both directions: 12 links x 2
# messages per 2 s.
PASSIVE_INTERVAL_S = HEARTBEAT_INTERVAL_S + 0.5
PROBE_HELPERS = 2
PROBE_TIMEOUT_S = 2.0
# Below PROBE_TIMEOUT_S, so that a helper's answer arrives before the requester
# gives up.
HELPER_TIMEOUT_S = 1.5
CLOCK_JUMP_S = 3.0
# Peers that must answer after a pause before the view counts as current. A
# single answer could come from a peer that was paused at the same time.
FRESH_VIEW_PEERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHint:
    """Load that heartbeats carry."""

    active: int
    limit: int


@dataclasses.dataclass(slots=True)
class _Watch:
    """State of one watched peer."""

    last_heard_s: float
    last_sent_s: float
    is_linked: bool = False
    is_target: bool = False
    is_under_review: bool = False
    should_reconnect: bool = False
    probe_id: int = 0
    probe_deadline_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _RelayedProbe:
    """A probe that this node runs on behalf of a peer."""

    requester_id: str
    probe_id: int
    target_id: str
    deadline_s: float


class FailureDetector:
    """Sends heartbeats on links and reports silent peers as suspect.

    A peer is watched while it is linked, while this node wants a link to it,
    or after the loss of a link that the peer should reopen.
    """

    def __init__(
        self,
        table: MembershipTable,
        links: ControlLinks,
        load: Callable[[], LoadHint],
        state: Callable[[], tuple[Version, str]],
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Creates a detector.

        Args:
            table: Membership table; only read.
            links: Connections to the neighbours.
            load: Load of this node for heartbeats.
            state: Version in force and membership digest for heartbeats.
            rng: Chooses the peers that help to probe.
            now_s: Current time.
        """
        self._table = table
        self._self_id = table.own.instance.instance_id
        self._links = links
        self._load = load
        self._state = state
        self._rng = rng
        self._watches: dict[str, _Watch] = {}
        self._relayed_probes: list[_RelayedProbe] = []
        self._sequences = itertools.count(1)
        self._probe_ids = itertools.count(rng.randrange(1, 1 << 30))
        self._clock_checked_s = now_s
        self._min_fresh_sequence = 0
        self._answered_peers: set[str] = set()
        self.is_view_stale = False
        self.clock_jumps = 0
        self.peer_loads: dict[str, LoadHint] = {}

    @property
    def probe_targets(self) -> tuple[str, ...]:
        """Peers to which links are needed to run probes."""
        return tuple(probe.target_id for probe in self._relayed_probes)

    def set_targets(self, peer_ids: tuple[str, ...], now_s: float) -> None:
        """Sets the peers that this node wants links to."""
        wanted = set(peer_ids)
        for peer_id in peer_ids:
            watch = self._get_or_add_watch(peer_id, now_s)
            watch.is_target = True
        for peer_id, watch in list(self._watches.items()):
            if peer_id in wanted:
                continue
            watch.is_target = False
            self._drop_unneeded(peer_id, watch)

    def on_link_up(self, peer_id: str, now_s: float) -> None:
        """Starts heartbeats on a new link."""
        watch = self._get_or_add_watch(peer_id, now_s)
        watch.is_linked = True
        watch.is_under_review = False
        watch.should_reconnect = False
        self._record_message(peer_id, watch, now_s)
        self._send_heartbeat(peer_id, watch, now_s)

    def on_link_down(self, peer_id: str) -> None:
        """Records a lost link.

        The peer is kept, but not suspected, until `review_lost_link`.
        """
        self.peer_loads.pop(peer_id, None)
        watch = self._watches.get(peer_id)
        if watch is not None:
            watch.is_linked = False
            watch.is_under_review = True

    def is_under_review(self, peer_id: str) -> bool:
        """Whether a peer's link was lost and not yet reviewed."""
        watch = self._watches.get(peer_id)
        return watch is not None and watch.is_under_review

    def review_lost_link(self, peer_id: str, should_reconnect: bool) -> None:
        """Keeps watching a peer without a link only if it should reconnect.

        Links closed because they are no longer needed must not start probes: a
        seed peer loses hundreds of links when a fleet has started.
        """
        watch = self._watches.get(peer_id)
        if watch is not None and watch.is_under_review:
            watch.is_under_review = False
            watch.should_reconnect = should_reconnect
            self._drop_unneeded(peer_id, watch)

    def on_message(self, peer_id: str, now_s: float) -> None:
        """Records that a message of any kind arrived from a peer."""
        watch = self._watches.get(peer_id)
        if watch is not None:
            self._record_message(peer_id, watch, now_s)

    def on_heartbeat(
        self, peer_id: str, heartbeat: Heartbeat, now_s: float
    ) -> None:
        """Answers a peer's heartbeat, or handles the answer to an own one."""
        hint = LoadHint(heartbeat.active, heartbeat.limit)
        self.peer_loads[peer_id] = hint
        if not heartbeat.is_reply:
            reply = self._heartbeat(True, heartbeat.sequence)
            self._links.send(peer_id, _omit_equal_state(reply, heartbeat))
            return
        if heartbeat.sequence >= self._min_fresh_sequence:
            self._answered_peers.add(peer_id)
            self._update_view_state()

    def on_probe_request(
        self, requester_id: str, request: ProbeRequest, now_s: float
    ) -> None:
        """Tries to reach a node on behalf of a peer."""
        target_id = request.target_id
        watch = self._watches.get(target_id)
        if target_id == self._self_id or (
            watch is not None
            and watch.is_linked
            and now_s - watch.last_heard_s < HEARTBEAT_INTERVAL_S
        ):
            reply = ProbeReply(request.probe_id, target_id, True)
            self._links.send(requester_id, reply)
            return
        if self._table.get(target_id) is None:
            reply = ProbeReply(request.probe_id, target_id, False)
            self._links.send(requester_id, reply)
            return
        self._relayed_probes.append(
            _RelayedProbe(
                requester_id,
                request.probe_id,
                target_id,
                now_s + HELPER_TIMEOUT_S,
            )
        )
        if watch is not None and watch.is_linked:
            self._send_heartbeat(target_id, watch, now_s)

    def on_probe_reply(
        self, peer_id: str, reply: ProbeReply, now_s: float
    ) -> None:
        """Handles the result of an indirect probe."""
        watch = self._watches.get(reply.target_id)
        if watch is None or watch.probe_id != reply.probe_id:
            return
        if reply.is_reachable:
            # The peer is alive: only the path between the two nodes is broken,
            # or the peer has chosen other neighbours.
            watch.last_heard_s = now_s
            watch.probe_id = 0
            watch.should_reconnect = False
            self._drop_unneeded(reply.target_id, watch)

    def is_stale_at(self, now_s: float) -> bool:
        """Whether the view is stale, also when the clock was not yet checked.

        After a pause, waiting requests may be read before the first tick.
        """
        return self.is_view_stale or self._has_jumped(now_s)

    def _has_jumped(self, now_s: float) -> bool:
        return now_s - self._clock_checked_s > CLOCK_JUMP_S

    def check_clock(self, now_s: float) -> bool:
        """Returns whether this process was paused since the last check.

        After a pause the view is stale, and all timeouts of peers restart.
        """
        has_jumped = self._has_jumped(now_s)
        self._clock_checked_s = now_s
        if not has_jumped:
            return False
        self.clock_jumps += 1
        self.is_view_stale = True
        self._answered_peers.clear()
        self._min_fresh_sequence = next(self._sequences)
        for peer_id, watch in self._watches.items():
            watch.last_heard_s = now_s
            watch.probe_id = 0
            if watch.is_linked:
                self._send_heartbeat(peer_id, watch, now_s)
        self._update_view_state()
        return True

    def tick(self, now_s: float) -> tuple[Member, ...]:
        """Sends due heartbeats and probes.

        Returns:
            The members that this node reports as suspect or dead.
        """
        self._send_due_heartbeats(now_s)
        self._expire_relayed_probes(now_s)
        if self.is_view_stale:
            self._update_view_state()
            return ()
        suspects = []
        for peer_id, watch in list(self._watches.items()):
            if now_s - watch.last_heard_s < SILENCE_LIMIT_S:
                continue
            if watch.is_under_review and not watch.is_target:
                continue
            suspect = self._check_silent_peer(peer_id, watch, now_s)
            if suspect is not None:
                suspects.append(suspect)
        return tuple(suspects)

    def _check_silent_peer(
        self, peer_id: str, watch: _Watch, now_s: float
    ) -> Member | None:
        """Probes a silent peer; returns it with its new state on failure."""
        member = self._table.get(peer_id)
        if member is None or member.state is MemberState.DEAD:
            watch.should_reconnect = False
            self._drop_unneeded(peer_id, watch)
            return None
        if not self._can_suspect(peer_id, now_s):
            watch.probe_id = 0
            return None
        if watch.probe_id == 0:
            self._start_probe(peer_id, watch, now_s)
            return None
        if now_s < watch.probe_deadline_s:
            return None
        watch.probe_id = 0
        watch.last_heard_s = now_s
        state = MemberState.SUSPECT
        if member.state is MemberState.LEAVING:
            # It has announced that it stops, so the suspect state is skipped.
            state = MemberState.DEAD
        return Member(member.instance, member.incarnation, state)

    def _can_suspect(self, peer_id: str, now_s: float) -> bool:
        """Whether silence may be attributed to the peer.

        A node that receives nothing from any other peer is more likely cut off
        itself and must not report the whole fleet. With at most one other live
        member there is no other peer to compare with.
        """
        if self._table.live_count <= 2:
            return True
        return any(
            now_s - watch.last_heard_s < SILENCE_LIMIT_S and watch.is_linked
            for other_id, watch in self._watches.items()
            if other_id != peer_id
        )

    def _start_probe(self, peer_id: str, watch: _Watch, now_s: float) -> None:
        watch.probe_id = next(self._probe_ids)
        watch.probe_deadline_s = now_s + PROBE_TIMEOUT_S
        helpers = sorted(
            other_id
            for other_id, other in self._watches.items()
            if other.is_linked
            and other_id != peer_id
            and now_s - other.last_heard_s < SILENCE_LIMIT_S
        )
        count = min(PROBE_HELPERS, len(helpers))
        request = ProbeRequest(watch.probe_id, peer_id)
        for helper_id in self._rng.sample(helpers, count):
            self._links.send(helper_id, request)

    def _expire_relayed_probes(self, now_s: float) -> None:
        active_probes = []
        for probe in self._relayed_probes:
            if now_s < probe.deadline_s:
                active_probes.append(probe)
                continue
            reply = ProbeReply(probe.probe_id, probe.target_id, False)
            self._links.send(probe.requester_id, reply)
        self._relayed_probes = active_probes

    def _record_message(
        self, peer_id: str, watch: _Watch, now_s: float
    ) -> None:
        watch.last_heard_s = now_s
        watch.probe_id = 0
        if not self._relayed_probes:
            return
        for probe in self._relayed_probes:
            if probe.target_id == peer_id:
                reply = ProbeReply(probe.probe_id, peer_id, True)
                self._links.send(probe.requester_id, reply)
        self._relayed_probes = [
            probe
            for probe in self._relayed_probes
            if probe.target_id != peer_id
        ]

    def _send_due_heartbeats(self, now_s: float) -> None:
        for peer_id, watch in self._watches.items():
            if not watch.is_linked:
                continue
            interval_s = (
                HEARTBEAT_INTERVAL_S
                if self._self_id < peer_id
                else PASSIVE_INTERVAL_S
            )
            if now_s - max(watch.last_heard_s, watch.last_sent_s) >= interval_s:
                self._send_heartbeat(peer_id, watch, now_s)

    def _send_heartbeat(
        self, peer_id: str, watch: _Watch, now_s: float
    ) -> None:
        watch.last_sent_s = now_s
        sequence = next(self._sequences)
        self._links.send(peer_id, self._heartbeat(False, sequence))

    def _heartbeat(self, is_reply: bool, sequence: int) -> Heartbeat:
        version, digest = self._state()
        load = self._load()
        return Heartbeat(
            is_reply=is_reply,
            version_number=version.number,
            version_digest=version.digest,
            membership_digest=digest,
            active=load.active,
            limit=load.limit,
            sequence=sequence,
        )

    def _update_view_state(self) -> None:
        """Marks the view as current once enough peers answered.

        Only answers to heartbeats sent after the pause count.
        """
        linked = sum(watch.is_linked for watch in self._watches.values())
        needed = min(FRESH_VIEW_PEERS, max(1, linked))
        is_alone = self._table.live_count == 1
        if is_alone or len(self._answered_peers) >= needed:
            self.is_view_stale = False

    def _get_or_add_watch(self, peer_id: str, now_s: float) -> _Watch:
        watch = self._watches.get(peer_id)
        if watch is None:
            watch = _Watch(now_s, now_s)
            self._watches[peer_id] = watch
        return watch

    def _drop_unneeded(self, peer_id: str, watch: _Watch) -> None:
        is_needed = watch.is_linked or watch.is_target
        if not (is_needed or watch.is_under_review or watch.should_reconnect):
            self._watches.pop(peer_id, None)


def _omit_equal_state(reply: Heartbeat, request: Heartbeat) -> Heartbeat:
    """Omits the state from a reply if it equals the state in the request.

    Most replies are sent while nothing changes; omitting the state saves a
    third of the bytes of an exchange.
    """
    is_equal = (
        reply.version_number == request.version_number
        and reply.version_digest == request.version_digest
        and reply.membership_digest == request.membership_digest
    )
    if not is_equal:
        return reply
    return dataclasses.replace(
        reply, version_number=0, version_digest="", membership_digest=""
    )
