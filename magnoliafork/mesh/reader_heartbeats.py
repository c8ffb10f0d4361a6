"""Whether a node is connected, over its peers, to one that reads the store.

Nodes that read the store number their heartbeats, and all nodes pass the one
that they heard last on with their announcements. A heartbeat counts once, when
its number is first heard: nodes that are cut off from all readers may repeat
what they know to each other for ever, and still hear nothing new. An
announcement alone says only that its sender runs.
"""

import dataclasses
from collections.abc import Callable

# Only heartbeats that were first heard within this time are passed on. Each hop
# takes up to an announcement interval.
RELAY_S = 2.0
# Readers are forgotten after this time, in which all nodes have stopped passing
# their heartbeats on.
FORGET_S = 60.0
MAX_READERS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a node that reads the store.

    Attributes:
        process_id: Names the process of that node; 0 for no heartbeat.
        number: Number of its heartbeats until this one.
    """

    process_id: int = 0
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """The newest heartbeat of a reader.

    Attributes:
        number: Its number.
        at_s: Loop time at which it was first heard.
    """

    number: int
    at_s: float


class ReaderHeartbeats:
    """Numbers the heartbeats of this node and follows those of others."""

    def __init__(self, process_id: int, clock: Callable[[], float]) -> None:
        """Creates an instance; silence counts from now on.

        Args:
            process_id: Names this process; differs for all processes.
            clock: Clock of the loop.
        """
        self._process_id = process_id
        self._clock = clock
        self._own_count = 0
        self._heard: dict[int, _Heard] = {}
        self._newest = Heartbeat()
        self._last_heard_s = clock()

    @property
    def silent_s(self) -> float:
        """Time without a new heartbeat, of this node or another one."""
        return self._clock() - self._last_heard_s

    def beat(self) -> None:
        """Makes a heartbeat of this node, which reads the store."""
        self._own_count += 1
        self._record(self._process_id, self._own_count)

    def hear(self, process_id: int, number: int) -> None:
        """Takes over the heartbeat in a message of a peer, if it has one."""
        known = self._heard.get(process_id)
        is_new = known is None or number > known.number
        if process_id and process_id != self._process_id and is_new:
            self._record(process_id, number)

    def hear_unnumbered(self) -> None:
        """Records an announcement of an earlier release, which has none."""
        self._last_heard_s = self._clock()

    def newest(self) -> Heartbeat:
        """Returns the heartbeat to pass on.

        One is enough: if it is not new to a peer, the peer has heard it from
        others.
        """
        heard = self._heard.get(self._newest.process_id)
        if heard is None or self._clock() - heard.at_s > RELAY_S:
            return Heartbeat()
        return self._newest

    def _record(self, process_id: int, number: int) -> None:
        now_s = self._clock()
        self._last_heard_s = now_s
        self._heard[process_id] = _Heard(number, now_s)
        self._newest = Heartbeat(process_id, number)
        if len(self._heard) > MAX_READERS:
            self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        for process_id, heard in list(self._heard.items()):
            if now_s - heard.at_s > FORGET_S:
                del self._heard[process_id]
