"""Finds peers that no longer answer, and pauses of this process."""

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
# The end with the higher id waits longer, so that normally one exchange per
# interval serves both directions: 12 links x 2 messages per 2 s.
PASSIVE_INTERVAL_S = HEARTBEAT_INTERVAL_S + 0.5
PROBE_HELPERS = 2
PROBE_TIMEOUT_S = 2.0
# The helper's answer must arrive before the asker gives up.
HELPER_TIMEOUT_S = 1.5
CLOCK_JUMP_S = 3.0
# One answer could come from a peer that was paused at the same time.
FRESH_VIEW_PEERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadHint:
    """Load that heartbeats carry."""

    active: int
    limit: int


@dataclasses.dataclass(slots=True)
class _Watch:
    """What is known about one watched peer."""

    heard_s: float
    sent_s: float
    is_linked: bool = False
    is_target: bool = False
    is_under_review: bool = False
    is_expected_back: bool = False
    probe_id: int = 0
    probe_deadline_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Probe:
    """A probe that this node runs for a peer."""

    asker_id: str
    probe_id: int
    target_id: str
    deadline_s: float


class FailureDetector:
    """Sends heartbeats on links and judges silent peers.

    A peer is watched while it is linked, while this node wants a link to it,
    or after it lost a link that it should reopen.
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
        self._probes: list[_Probe] = []
        self._sequences = itertools.count(1)
        self._probe_ids = itertools.count(rng.randrange(1, 1 << 30))
        self._clock_checked_s = now_s
        self._fresh_sequence = 0
        self._answered: set[str] = set()
        self.is_view_stale = False
        self.clock_jumps = 0
        self.peer_loads: dict[str, LoadHint] = {}

    @property
    def probe_targets(self) -> tuple[str, ...]:
        """Peers to which links are needed for running probes."""
        return tuple(probe.target_id for probe in self._probes)

    def set_targets(self, peer_ids: tuple[str, ...], now_s: float) -> None:
        """Sets the peers that this node wants links to."""
        wanted = set(peer_ids)
        for peer_id in peer_ids:
            watch = self._watch(peer_id, now_s)
            watch.is_target = True
        for peer_id, watch in list(self._watches.items()):
            if peer_id in wanted:
                continue
            watch.is_target = False
            self._drop_unneeded(peer_id, watch)

    def on_link_up(self, peer_id: str, now_s: float) -> None:
        """Starts heartbeats on a new link."""
        watch = self._watch(peer_id, now_s)
        watch.is_linked = True
        watch.is_under_review = False
        watch.is_expected_back = False
        self._note_heard(peer_id, watch, now_s)
        self._send_heartbeat(peer_id, watch, now_s)

    def on_link_down(self, peer_id: str) -> None:
        """Keeps a peer that lost its link, unjudged, until its review."""
        self.peer_loads.pop(peer_id, None)
        watch = self._watches.get(peer_id)
        if watch is not None:
            watch.is_linked = False
            watch.is_under_review = True

    def is_under_review(self, peer_id: str) -> bool:
        """Whether a peer lost its link and is not judged yet."""
        watch = self._watches.get(peer_id)
        return watch is not None and watch.is_under_review

    def review(self, peer_id: str, is_expected_back: bool) -> None:
        """Goes on watching a peer only if it should have kept its link.

        Closing links that are no longer needed must not start probes: a seed
        peer loses hundreds of links when a fleet has started.
        """
        watch = self._watches.get(peer_id)
        if watch is not None and watch.is_under_review:
            watch.is_under_review = False
            watch.is_expected_back = is_expected_back
            self._drop_unneeded(peer_id, watch)

    def on_heard(self, peer_id: str, now_s: float) -> None:
        """Notes that any message arrived from a peer."""
        watch = self._watches.get(peer_id)
        if watch is not None:
            self._note_heard(peer_id, watch, now_s)

    def on_heartbeat(
        self, peer_id: str, heartbeat: Heartbeat, now_s: float
    ) -> None:
        """Answers a heartbeat, or takes the answer to an own one."""
        hint = LoadHint(heartbeat.active, heartbeat.limit)
        self.peer_loads[peer_id] = hint
        if not heartbeat.is_reply:
            reply = self._heartbeat(True, heartbeat.sequence)
            self._links.send(peer_id, _without_equal_state(reply, heartbeat))
            return
        if heartbeat.sequence >= self._fresh_sequence:
            self._answered.add(peer_id)
            self._check_fresh()

    def on_probe_request(
        self, asker_id: str, request: ProbeRequest, now_s: float
    ) -> None:
        """Tries to reach a node on behalf of a peer."""
        target_id = request.target_id
        watch = self._watches.get(target_id)
        if target_id == self._self_id or (
            watch is not None
            and watch.is_linked
            and now_s - watch.heard_s < HEARTBEAT_INTERVAL_S
        ):
            reply = ProbeReply(request.probe_id, target_id, True)
            self._links.send(asker_id, reply)
            return
        if self._table.get(target_id) is None:
            reply = ProbeReply(request.probe_id, target_id, False)
            self._links.send(asker_id, reply)
            return
        self._probes.append(
            _Probe(
                asker_id,
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
        """Takes the result of an indirect probe."""
        watch = self._watches.get(reply.target_id)
        if watch is None or watch.probe_id != reply.probe_id:
            return
        if reply.is_reachable:
            # Only the path between the two nodes is broken, or the peer
            # has other neighbours by now.
            watch.heard_s = now_s
            watch.probe_id = 0
            watch.is_expected_back = False
            self._drop_unneeded(reply.target_id, watch)

    def is_stale_at(self, now_s: float) -> bool:
        """Whether the view is stale, even before the next clock check.

        After a pause, waiting requests may be read before the first tick.
        """
        return self.is_view_stale or self._has_jumped(now_s)

    def _has_jumped(self, now_s: float) -> bool:
        return now_s - self._clock_checked_s > CLOCK_JUMP_S

    def check_clock(self, now_s: float) -> bool:
        """Tells whether this process was paused since the last check."""
        has_jumped = self._has_jumped(now_s)
        self._clock_checked_s = now_s
        if not has_jumped:
            return False
        self.clock_jumps += 1
        self.is_view_stale = True
        self._answered.clear()
        self._fresh_sequence = next(self._sequences)
        for peer_id, watch in self._watches.items():
            watch.heard_s = now_s
            watch.probe_id = 0
            if watch.is_linked:
                self._send_heartbeat(peer_id, watch, now_s)
        self._check_fresh()
        return True

    def tick(self, now_s: float) -> tuple[Member, ...]:
        """Sends due heartbeats and probes.

        Returns:
            The members to be suspected.
        """
        self._send_due(now_s)
        self._finish_probes(now_s)
        if self.is_view_stale:
            self._check_fresh()
            return ()
        suspects = []
        for peer_id, watch in list(self._watches.items()):
            if now_s - watch.heard_s < SILENCE_LIMIT_S:
                continue
            if watch.is_under_review and not watch.is_target:
                continue
            suspect = self._judge(peer_id, watch, now_s)
            if suspect is not None:
                suspects.append(suspect)
        return tuple(suspects)

    def _judge(
        self, peer_id: str, watch: _Watch, now_s: float
    ) -> Member | None:
        """Probes a silent peer; returns it as a suspect when that failed."""
        member = self._table.get(peer_id)
        if member is None or member.state is MemberState.DEAD:
            watch.is_expected_back = False
            self._drop_unneeded(peer_id, watch)
            return None
        if not self._has_evidence(peer_id, now_s):
            watch.probe_id = 0
            return None
        if watch.probe_id == 0:
            self._start_probe(peer_id, watch, now_s)
            return None
        if now_s < watch.probe_deadline_s:
            return None
        watch.probe_id = 0
        watch.heard_s = now_s
        state = MemberState.SUSPECT
        if member.state is MemberState.LEAVING:
            # It has announced its end; there is nothing to wait for.
            state = MemberState.DEAD
        return Member(member.instance, member.incarnation, state)

    def _has_evidence(self, peer_id: str, now_s: float) -> bool:
        """Whether silence can be blamed on the peer.

        A node that hears nobody is more likely cut off itself. It must not
        report the whole fleet, unless nobody else is left.
        """
        if self._table.live_count <= 2:
            return True
        return any(
            now_s - watch.heard_s < SILENCE_LIMIT_S and watch.is_linked
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
            and now_s - other.heard_s < SILENCE_LIMIT_S
        )
        count = min(PROBE_HELPERS, len(helpers))
        request = ProbeRequest(watch.probe_id, peer_id)
        for helper_id in self._rng.sample(helpers, count):
            self._links.send(helper_id, request)

    def _finish_probes(self, now_s: float) -> None:
        running = []
        for probe in self._probes:
            if now_s < probe.deadline_s:
                running.append(probe)
                continue
            reply = ProbeReply(probe.probe_id, probe.target_id, False)
            self._links.send(probe.asker_id, reply)
        self._probes = running

    def _note_heard(self, peer_id: str, watch: _Watch, now_s: float) -> None:
        watch.heard_s = now_s
        watch.probe_id = 0
        if not self._probes:
            return
        for probe in self._probes:
            if probe.target_id == peer_id:
                reply = ProbeReply(probe.probe_id, peer_id, True)
                self._links.send(probe.asker_id, reply)
        self._probes = [
            probe for probe in self._probes if probe.target_id != peer_id
        ]

    def _send_due(self, now_s: float) -> None:
        for peer_id, watch in self._watches.items():
            if not watch.is_linked:
                continue
            interval_s = (
                HEARTBEAT_INTERVAL_S
                if self._self_id < peer_id
                else PASSIVE_INTERVAL_S
            )
            if now_s - max(watch.heard_s, watch.sent_s) >= interval_s:
                self._send_heartbeat(peer_id, watch, now_s)

    def _send_heartbeat(
        self, peer_id: str, watch: _Watch, now_s: float
    ) -> None:
        watch.sent_s = now_s
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

    def _check_fresh(self) -> None:
        """Ends staleness once enough peers answered a new heartbeat."""
        linked = sum(watch.is_linked for watch in self._watches.values())
        needed = min(FRESH_VIEW_PEERS, max(1, linked))
        is_alone = self._table.live_count == 1
        if is_alone or len(self._answered) >= needed:
            self.is_view_stale = False

    def _watch(self, peer_id: str, now_s: float) -> _Watch:
        watch = self._watches.get(peer_id)
        if watch is None:
            watch = _Watch(now_s, now_s)
            self._watches[peer_id] = watch
        return watch

    def _drop_unneeded(self, peer_id: str, watch: _Watch) -> None:
        is_needed = watch.is_linked or watch.is_target
        if not (is_needed or watch.is_under_review or watch.is_expected_back):
            self._watches.pop(peer_id, None)


def _without_equal_state(reply: Heartbeat, asked: Heartbeat) -> Heartbeat:
    """Leaves out the state that the asking peer holds as well.

    Most replies are sent while nothing changes; this takes a third off the
    bytes of an exchange.
    """
    is_equal = (
        reply.version_number == asked.version_number
        and reply.version_digest == asked.version_digest
        and reply.membership_digest == asked.membership_digest
    )
    if not is_equal:
        return reply
    return dataclasses.replace(
        reply, version_number=0, version_digest="", membership_digest=""
    )
