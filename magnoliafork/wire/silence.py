"""Decides when a connection for calls has gone silent.

Something between two nodes may lose track of a connection, so that nothing
passes on it any more although new connections work. A heartbeat goes with a
call if nothing has arrived on the connection for a while. If neither its reply
nor anything else arrives, the path is checked by a new connection, which tells
a dead connection from a congested path or a busy peer: a reply on a new
connection would be later still.
"""

import enum

# Time without received bytes after which a heartbeat checks the connection.
PROBE_AFTER_S = 0.3
# Limits of the time without a reply to a heartbeat after which the path is
# checked. A lost packet is sent again after about 0.2 s.
MIN_SILENCE_LIMIT_S = 0.35
MAX_SILENCE_LIMIT_S = 0.7
# Time until a lost packet is sent again, and its way.
RETRANSMISSION_S = 0.25
# Time without a reply after which a peer counts as unreachable although no new
# connection has shown that the old one is dead.
UNREACHABLE_LIMIT_S = 2.0
# Time between two checks of a path.
CHECK_INTERVAL_S = 0.3
# Weights of the newest value in the averages of the round-trip time and of its
# deviation, as TCP has them (RFC 6298).
_TIME_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4


class Verdict(enum.Enum):
    """What follows from the state of a connection."""

    WAIT = enum.auto()
    SEND_PROBE = enum.auto()
    CHECK_PATH = enum.auto()
    UNREACHABLE = enum.auto()


class SilenceDetector:
    """Observes the heartbeats of one connection; has no clock of its own."""

    def __init__(self) -> None:
        """Starts without a heartbeat and without a round-trip time."""
        self._probe_sent_s: float | None = None
        self._probe_sequence = 0
        self._unsent_bytes = 0
        self._round_trip_s = 0.0
        self._deviation_s = 0.0
        self._is_measured = False

    @property
    def limit_s(self) -> float:
        """Time without a reply after which the path is checked."""
        expected_s = self._round_trip_s + _DEVIATIONS * self._deviation_s
        return min(
            max(RETRANSMISSION_S + expected_s, MIN_SILENCE_LIMIT_S),
            MAX_SILENCE_LIMIT_S,
        )

    @property
    def probe_sent_s(self) -> float | None:
        """Time of the heartbeat that waits for a reply, if there is one."""
        return self._probe_sent_s

    def wants_probe(self, now_s: float, last_received_s: float) -> bool:
        """Whether a heartbeat should be sent."""
        self._note_received(last_received_s)
        return (
            self._probe_sent_s is None
            and now_s - last_received_s >= PROBE_AFTER_S
        )

    def record_probe(self, sequence: int, now_s: float) -> None:
        """Records a heartbeat that is being sent."""
        self._probe_sequence = sequence
        self._probe_sent_s = now_s

    def record_reply(self, sequence: int, now_s: float) -> None:
        """Measures the round-trip time by the reply to a heartbeat."""
        if self._probe_sent_s is None or sequence != self._probe_sequence:
            return
        sample_s = now_s - self._probe_sent_s
        self._probe_sent_s = None
        if not self._is_measured:
            self._is_measured = True
            self._round_trip_s = sample_s
            self._deviation_s = sample_s / 2
            return
        error_s = sample_s - self._round_trip_s
        self._round_trip_s += error_s * _TIME_WEIGHT
        self._deviation_s += (
            abs(error_s) - self._deviation_s
        ) * _DEVIATION_WEIGHT

    def is_silent(self, last_received_s: float) -> bool:
        """Whether nothing has arrived since the last heartbeat was sent."""
        self._note_received(last_received_s)
        return self._probe_sent_s is not None

    def check(
        self, now_s: float, last_received_s: float, unsent_bytes: int
    ) -> Verdict:
        """Returns what follows from what has arrived.

        Args:
            now_s: Current time.
            last_received_s: Time of the last received bytes.
            unsent_bytes: Written bytes that have not left the process.
        """
        self._note_received(last_received_s)
        is_draining = unsent_bytes < self._unsent_bytes
        self._unsent_bytes = unsent_bytes
        if self._probe_sent_s is None:
            if now_s - last_received_s >= PROBE_AFTER_S:
                return Verdict.SEND_PROBE
            return Verdict.WAIT
        if is_draining:
            # The heartbeat waits behind a large request that is being sent.
            self._probe_sent_s = now_s
            return Verdict.WAIT
        unanswered_s = now_s - self._probe_sent_s
        if unanswered_s >= UNREACHABLE_LIMIT_S:
            return Verdict.UNREACHABLE
        if unanswered_s >= self.limit_s:
            return Verdict.CHECK_PATH
        return Verdict.WAIT

    def next_check_s(self, now_s: float) -> float:
        """Returns the time from now until the next check."""
        if self._probe_sent_s is None:
            return PROBE_AFTER_S
        due_s = self._probe_sent_s + self.limit_s
        if now_s < due_s:
            return due_s - now_s
        return CHECK_INTERVAL_S

    def _note_received(self, last_received_s: float) -> None:
        if (
            self._probe_sent_s is not None
            and last_received_s > self._probe_sent_s
        ):
            self._probe_sent_s = None
