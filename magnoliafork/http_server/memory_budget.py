"""Who waits and who is refused when clients send more than there is room for.

Load pattern: clients that nobody controls send large bodies at once, whole or
piece by piece, and stop short of their end; others send heads without end.
Ordinary clients send small requests that are complete within a moment.

* Up to `SMALL_BYTES` of a request are read without asking. If all small parts
  together take more than their share, the oldest incomplete ones are refused.
* A request with more to come needs a place for its whole body. Reading it
  pauses until there is one, in the order of arrival.
* A place is kept until the request has its answer. Of those whose body makes
  no progress, the ones that hold most for longest are refused first, and only
  while others wait for a place.
"""

import collections
import dataclasses
import math

# Part of a request that is read without a place; ordinary requests are smaller.
SMALL_BYTES = 65_536
# Share of the budget for small parts, and for answers that clients do not read.
SMALL_SHARE = 0.25
ANSWER_SHARE = 0.25
# Rate below which a body makes no progress, and the time over which it is
# measured. An honest client on a slow line sends several times as much.
MIN_RATE_BYTES_PER_S = 2_000.0
RATE_WINDOW_S = 2.0
# Longest time that a request waits for a place before it is refused.
MAX_WAIT_S = 5.0
# Memory that the process needs itself, and copies of a body on its way through
# a node: parsed, encoded for the peer, decoded, and written to the upstream.
PROCESS_MB = 64
COPIES = 5
MIN_BUDGET_BYTES = 8_000_000
MEGABYTE = 1024 * 1024


def budget_bytes(memory_mb: float) -> int:
    """Returns what clients may make a process hold on a machine.

    >>> budget_bytes(200) // 1_000_000, budget_bytes(100) // 1_000_000
    (28, 8)
    """
    free_bytes = (memory_mb - PROCESS_MB) * MEGABYTE
    return max(MIN_BUDGET_BYTES, int(free_bytes / COPIES))


@dataclasses.dataclass(eq=False, slots=True)
class Account:
    """What one connection makes the process hold.

    Attributes:
        small_bytes: Bytes read without a place.
        incomplete_bytes: Those of them that are of an incomplete request.
        incomplete_since_s: Time of the first of these.
        place_bytes: Bytes of its places.
        reading_bytes: Those of them for the body that is being read.
        read_bytes: Bytes of that body that have arrived.
        rated_bytes: `read_bytes` at the last measurement.
        rated_at_s: Time of the last measurement.
        is_stalled: Whether the body made no progress since.
        wanted_bytes: Place that it waits for; 0 if it waits for none.
        waiting_since_s: Since when it waits.
        answer_bytes: Bytes of answers that the client has not read.
        answered_at_s: Time of the last progress with them.
    """

    small_bytes: int = 0
    incomplete_bytes: int = 0
    incomplete_since_s: float = math.inf
    place_bytes: int = 0
    reading_bytes: int = 0
    read_bytes: int = 0
    rated_bytes: int = 0
    rated_at_s: float = 0.0
    is_stalled: bool = False
    wanted_bytes: int = 0
    waiting_since_s: float = 0.0
    answer_bytes: int = 0
    answered_at_s: float = 0.0


class MemoryBudget:
    """Bytes that all clients of a process make it hold."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates a budget of which nothing is used."""
        self._small_limit = int(limit_bytes * SMALL_SHARE)
        self._answer_limit = int(limit_bytes * ANSWER_SHARE)
        self._place_limit = limit_bytes - self._small_limit
        self._place_limit -= self._answer_limit
        self.limit_bytes = limit_bytes
        self.small_bytes = 0
        self.place_bytes = 0
        self.answer_bytes = 0
        self.highest_bytes = 0
        self._accounts: set[Account] = set()
        self._waiting: collections.deque[Account] = collections.deque()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held or promised."""
        return self.small_bytes + self.place_bytes + self.answer_bytes

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a place."""
        return len(self._waiting)

    @property
    def is_over_small(self) -> bool:
        """Whether the parts without a place take more than their share."""
        return self.small_bytes > self._small_limit

    @property
    def is_tight(self) -> bool:
        """Whether less than half is left of the place for answers."""
        return self.answer_bytes > self._answer_limit / 2

    def open(self, account: Account) -> None:
        """Adds a connection."""
        self._accounts.add(account)

    def close(self, account: Account) -> None:
        """Removes a connection and all that it holds."""
        self._accounts.discard(account)
        self.set_small(account, 0, 0, 0.0)
        self._set_answers(account, 0)
        self.place_bytes -= account.place_bytes
        account.place_bytes = account.reading_bytes = 0
        self.stop_waiting(account)

    def set_small(
        self, account: Account, complete: int, incomplete: int, now_s: float
    ) -> None:
        """Sets the bytes that are held without a place.

        Args:
            account: The connection.
            complete: Bytes of requests that wait for their answers.
            incomplete: Bytes of a request that is being read.
            now_s: Loop time.
        """
        size = complete + incomplete
        self.small_bytes += size - account.small_bytes
        if not incomplete:
            account.incomplete_since_s = math.inf
        elif not account.incomplete_bytes:
            account.incomplete_since_s = now_s
        account.small_bytes, account.incomplete_bytes = size, incomplete
        self._note_highest()

    def oldest_small(self) -> list[Account]:
        """Returns whose incomplete requests are refused until all fits."""
        excess = self.small_bytes - self._small_limit
        refused: list[Account] = []
        if excess <= 0:
            return refused
        ranked = sorted(
            (a for a in self._accounts if a.incomplete_bytes),
            key=lambda account: account.incomplete_since_s,
        )
        for account in ranked:
            if excess <= 0:
                break
            excess -= account.incomplete_bytes
            refused.append(account)
        return refused

    # Places for whole bodies.

    def reserve(self, account: Account, size: int, now_s: float) -> bool:
        """Reserves a place; false if the request has to wait for it."""
        if account.wanted_bytes:
            return False
        if not self._waiting and self._fits(size):
            self._give(account, size, now_s)
            return True
        account.wanted_bytes = size
        account.waiting_since_s = now_s
        self._waiting.append(account)
        return False

    def _fits(self, size: int) -> bool:
        # A single body always fits, however large.
        return (
            not self.place_bytes or self.place_bytes + size <= self._place_limit
        )

    def _give(self, account: Account, size: int, now_s: float) -> None:
        self.place_bytes += size
        account.place_bytes += size
        account.reading_bytes = size
        account.read_bytes = account.rated_bytes = 0
        account.rated_at_s = now_s
        account.is_stalled = False
        self._note_highest()

    def stop_waiting(self, account: Account) -> None:
        """Removes a connection from those that wait."""
        if account.wanted_bytes:
            self._waiting.remove(account)
            account.wanted_bytes = 0

    def complete(self, account: Account, size: int) -> None:
        """Keeps only the place that a complete body takes."""
        excess = account.reading_bytes - size
        account.place_bytes -= excess
        self.place_bytes -= excess
        account.reading_bytes = 0

    def release(self, account: Account, size: int) -> None:
        """Frees the place of a request that has its answer."""
        size = min(size, account.place_bytes)
        account.place_bytes -= size
        self.place_bytes -= size

    def admit_waiting(self, now_s: float) -> list[Account]:
        """Gives free places to those that wait; returns who got one."""
        admitted = []
        while self._waiting and self._fits(self._waiting[0].wanted_bytes):
            account = self._waiting.popleft()
            size, account.wanted_bytes = account.wanted_bytes, 0
            self._give(account, size, now_s)
            admitted.append(account)
        return admitted

    def expired(self, now_s: float) -> list[Account]:
        """Returns who is refused, as called once in a while.

        While requests wait for a place, that is whoever holds most for longest
        of those that make no progress, and whoever waits for too long.
        """
        for account in self._accounts:
            if not account.reading_bytes:
                continue
            passed_s = now_s - account.rated_at_s
            if passed_s >= RATE_WINDOW_S:
                gained = account.read_bytes - account.rated_bytes
                account.is_stalled = gained < passed_s * MIN_RATE_BYTES_PER_S
                account.rated_bytes = account.read_bytes
                account.rated_at_s = now_s
        if not self._waiting:
            return []
        wanted = sum(account.wanted_bytes for account in self._waiting)
        stalled = sorted(
            (a for a in self._accounts if a.reading_bytes and a.is_stalled),
            key=lambda a: a.reading_bytes,
            reverse=True,
        )
        refused = []
        for account in stalled:
            if wanted <= 0:
                break
            wanted -= account.reading_bytes
            refused.append(account)
        refused += [
            account
            for account in self._waiting
            if now_s - account.waiting_since_s > MAX_WAIT_S
        ]
        return refused

    # Answers.

    def set_answers(self, account: Account, size: int, now_s: float) -> None:
        """Sets the bytes of answers that a client has not read."""
        if size < account.answer_bytes or not account.answer_bytes:
            account.answered_at_s = now_s
        self._set_answers(account, size)

    def _set_answers(self, account: Account, size: int) -> None:
        self.answer_bytes += size - account.answer_bytes
        account.answer_bytes = size
        self._note_highest()

    def unread_answers(self) -> list[Account]:
        """Returns whose connection is closed until the answers fit.

        These are the ones that hold most; of those that hold as much, the ones
        that have read nothing for longest.
        """
        excess = self.answer_bytes - self._answer_limit
        closed: list[Account] = []
        if excess <= 0:
            return closed
        ranked = sorted(
            (a for a in self._accounts if a.answer_bytes),
            key=lambda a: (-a.answer_bytes, a.answered_at_s),
        )
        # A single client may take a large answer in calm.
        if len(ranked) == 1:
            return closed
        for account in ranked:
            if excess <= 0:
                break
            excess -= account.answer_bytes
            closed.append(account)
        return closed

    def _note_highest(self) -> None:
        self.highest_bytes = max(self.highest_bytes, self.held_bytes)
