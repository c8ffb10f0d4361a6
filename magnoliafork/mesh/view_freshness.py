"""At which time the view is known to have been current.

A view is current at a time if it contains everything that the store had
acknowledged until then. An answer of the store proves that for the time at
which the store was asked, and a peer that has such a proof passes it on. Proofs
are times of a clock that counts suspension, so that a node which wakes up after
seconds knows that its proof is as old.

A peer states its proof in terms of its own clock. The difference of two clocks
is bounded by messages that were sent and echoed: what the peer received at its
time `r` was sent here at an earlier time `a`, so that the peer's time `t` is
not before `a - r + t` here. Delays of messages, in buffers or while a process
is suspended, make a proof look older than it is, never younger.
"""

import collections
import dataclasses
import math
from collections.abc import Callable, Sequence

from magnoliafork.mesh.model import StorePosition
from magnoliafork.mesh.view import Change, MeshView

# Most by which two clocks may drift apart, as a share of the time that passes.
# Quartz clocks drift by 1e-4 at most; time daemons slew by up to 5e-4.
MAX_CLOCK_DRIFT = 1e-3
# Proofs of states that the view has not reached yet. In more than that, the
# times of the latest are not known.
MAX_PENDING_PROOFS = 64
# A proof is announced to neighbours once it is newer than the last announced
# one by this much.
ANNOUNCED_STEP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """What a message tells about the clocks at both ends of a link.

    Attributes:
        clock_id: Names the process whose clock it is.
        clock_s: That clock when the message was sent.
        echoed_id: Names the process whose message was received last.
        echoed_s: The clock in that message.
        echoed_at_s: Clock of the sender when it received that message.
    """

    clock_id: int
    clock_s: float
    echoed_id: int = 0
    echoed_s: float = 0.0
    echoed_at_s: float = 0.0


class PeerClock:
    """Bounds the difference between the clock of a peer and the own one.

    Another machine may take over the address of a peer while the links to the
    former one still seem open. Its clock is another one, so each reading names
    the process that it is of.
    """

    def __init__(self) -> None:
        """Creates an instance that knows nothing about the peer's clock."""
        self._offset_s = -math.inf
        self._bounded_at_s = -math.inf
        self._heard: ClockReading | None = None
        self._heard_at_s = 0.0

    @property
    def is_known(self) -> bool:
        """Whether any message to the peer was echoed."""
        return self._offset_s > -math.inf

    def hear(self, reading: ClockReading, now_s: float, own_id: int) -> bool:
        """Takes over what a message of the peer tells.

        Args:
            reading: Clocks in the message.
            now_s: Own clock.
            own_id: Names the own process.

        Returns:
            Whether it is the first message of that process.
        """
        is_first = (
            self._heard is None or self._heard.clock_id != reading.clock_id
        )
        if is_first:
            self._offset_s = -math.inf
            self._bounded_at_s = -math.inf
        self._heard, self._heard_at_s = reading, now_s
        if reading.echoed_id == own_id:
            self._record_echo(reading.echoed_s, reading.echoed_at_s)
        return is_first

    def reading(self, own_id: int, now_s: float) -> ClockReading:
        """Returns what a message to the peer tells."""
        if self._heard is None:
            return ClockReading(own_id, now_s)
        return ClockReading(
            own_id,
            now_s,
            self._heard.clock_id,
            self._heard.clock_s,
            self._heard_at_s,
        )

    def _record_echo(self, sent_s: float, received_there_s: float) -> None:
        """Records that a message sent at an own time arrived at a peer's."""
        offset_s = sent_s - received_there_s
        if offset_s >= self._offset_at_s(sent_s):
            self._offset_s = offset_s
            self._bounded_at_s = sent_s

    def earliest_s(self, peer_s: float, now_s: float) -> float:
        """Returns the earliest own time that a time of the peer may be.

        >>> clock = PeerClock()
        >>> clock.hear(ClockReading(2, 5.1, 1, 100.0, 5.0), 100.3, 1)
        True
        >>> clock.hear(ClockReading(2, 15.6, 1, 110.0, 15.5), 110.9, 1)
        False
        >>> clock.earliest_s(6.0, 100.0)
        101.0
        """
        return peer_s + self._offset_at_s(now_s)

    def _offset_at_s(self, now_s: float) -> float:
        if not self.is_known:
            return -math.inf
        passed_s = max(0.0, now_s - self._bounded_at_s)
        return self._offset_s - passed_s * MAX_CLOCK_DRIFT


class ViewFreshness:
    """Keeps the newest proof that the view was current.

    Attributes:
        clock: Clock of the proofs, in seconds; counts suspension.
        clock_id: Names this process and its clock.
        proved_at_s: Time at which the view was certainly current; minus
            infinity before any proof.
        on_proved: Called when a proof should be announced to neighbours.
    """

    def __init__(
        self, view: MeshView, clock: Callable[[], float], clock_id: int
    ) -> None:
        """Creates an instance without a proof."""
        self._view = view
        self.clock = clock
        self.clock_id = clock_id
        self.proved_at_s = -math.inf
        self._announced_at_s = -math.inf
        self._pending: collections.deque[tuple[float, StorePosition, int]] = (
            collections.deque(maxlen=MAX_PENDING_PROOFS)
        )
        self.on_proved: Callable[[], None] = lambda: None
        view.subscribe(self._on_changes)

    @property
    def is_needed(self) -> bool:
        """Whether the configuration has keys that may be withdrawn."""
        config = self._view.config
        return config is not None and config.tenants is not None

    def age_s(self) -> float:
        """Returns the time since the view was certainly current."""
        return self.clock() - self.proved_at_s

    def prove(
        self, at_s: float, position: StorePosition, config_version: int
    ) -> None:
        """Records that a state was current at a time.

        The proof counts once the view has reached that state. One of a time to
        come is none: a clock or a message is wrong.
        """
        if at_s <= self.proved_at_s or at_s > self.clock():
            return
        if not self._has_reached(position, config_version):
            self._pending.append((at_s, position, config_version))
            return
        self.proved_at_s = at_s
        if at_s - self._announced_at_s >= ANNOUNCED_STEP_S and self.is_needed:
            self.on_proved()

    def record_announced(self) -> None:
        """Records that the neighbours are told of the newest proof."""
        self._announced_at_s = self.proved_at_s

    def _has_reached(
        self, position: StorePosition, config_version: int
    ) -> bool:
        return (
            self._view.position >= position
            and self._view.config_version >= config_version
        )

    def _on_changes(self, _: Sequence[Change]) -> None:
        pending = list(self._pending)
        self._pending.clear()
        for at_s, position, config_version in pending:
            self.prove(at_s, position, config_version)
