"""Record of non-repeatable requests, so that each runs at most once."""

import collections
import dataclasses
import enum
import hashlib

from magnoliafork.model.request import Answered, Outcome

OUTCOME_TTL_S = 120.0
# Markers, which are entries without their outcome, are kept for longer, so that
# a caller that repeats a key late is told "unknown" and does not start a second
# run.
MARKER_TTL_S = 600.0
# A node of the target fleet serves about 122 calls/s. The calls of 120 s fit
# even if none of them is repeatable.
MAX_ENTRIES = 17_000
MAX_BYTES = 8 * 1024 * 1024
MAX_MARKERS = 10_000
# Memory of an entry besides the answer's headers and body. An entry with 125
# bytes of headers and body takes 481 bytes.
ENTRY_OVERHEAD_BYTES = 384
# One entry in this many is reserved for fences. A fence asks for a request to
# be refused for ever or moved; if there is no room to record that, the sender
# does not learn for certain whether the request runs.
FENCE_RESERVE_DIVISOR = 8


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns a digest that shows whether an id is used for another request.

    >>> request_digest("POST", "/a", b"") == request_digest("POST", "/", b"a")
    False
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class EntryState(enum.Enum):
    """What the ledger knows about one request id.

    The entry of a finished request holds its outcome. A forgotten request ran,
    but its outcome is not stored. A refused request must never run. A
    moved request has been handed to another instance.
    """

    RUNNING = "running"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"
    REFUSED = "refused"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What is recorded about one request id.

    Attributes:
        state: State of the request.
        digest: Digest of the request, empty when only a fence named the id.
        outcome: Outcome of a finished request.
        moved_to: Instance that took a moved request over, else empty.
        is_refused_for_ever: Whether the request was ever refused for ever,
            even if it has moved since.
        expires_at_s: Time at which the entry expires, unless it is running.
    """

    state: EntryState
    digest: bytes
    outcome: Outcome | None = None
    moved_to: str = ""
    is_refused_for_ever: bool = False
    expires_at_s: float = 0.0

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the entry."""
        return ENTRY_OVERHEAD_BYTES + _outcome_bytes(self.outcome)


def _outcome_bytes(outcome: Outcome | None) -> int:
    if not isinstance(outcome, Answered):
        return 0
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return headers + len(outcome.body)


class Ledger:
    """Maps request ids to the state and the outcome of their requests.

    Entries are never dropped before they expire. When the table is full, new
    requests are refused instead. An expired entry is replaced by a marker,
    which has no outcome. The number of markers is bounded; the oldest ones are
    dropped first.
    """

    def __init__(
        self,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
        max_markers: int = MAX_MARKERS,
    ) -> None:
        """Creates an empty ledger with its size limits."""
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._max_markers = max_markers
        self._entries: dict[str, Entry] = {}
        # Ids in the order of expiry, as all entries have the same time to live.
        self._expiry_times: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._markers: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    @property
    def entry_count(self) -> int:
        """Number of entries without the markers."""
        return len(self._entries)

    @property
    def used_bytes(self) -> int:
        """Estimated memory of the entries without the markers."""
        return self._bytes

    def get(self, request_id: str, now_s: float) -> Entry | None:
        """Returns what is known about a request id."""
        self.expire(now_s)
        return self._entries.get(request_id) or self._markers.get(request_id)

    def start(self, request_id: str, digest: bytes, now_s: float) -> bool:
        """Records a request as running; false when the ledger is full.

        A known id must not be started again, unless its request has moved away
        and comes back to this instance.
        """
        self.expire(now_s)
        known = self._entries.get(request_id) or self._markers.get(request_id)
        is_moved = known is not None and known.state is EntryState.MOVED
        if known is not None and (not is_moved or known.is_refused_for_ever):
            raise AssertionError(f"request {request_id} is already known")
        fence_reserve = self._max_entries // FENCE_RESERVE_DIVISOR
        if len(self._entries) >= self._max_entries - fence_reserve:
            return False
        if self._bytes + ENTRY_OVERHEAD_BYTES > self._max_bytes:
            return False
        self._put(request_id, Entry(EntryState.RUNNING, digest))
        return True

    def finish(self, request_id: str, outcome: Outcome, now_s: float) -> None:
        """Records the outcome of a running request.

        If the answer exceeds the remaining bytes, only the fact that the
        request ran is recorded.
        """
        running = self._running_entry(request_id)
        entry = Entry(
            EntryState.FINISHED,
            running.digest,
            outcome,
            expires_at_s=now_s + OUTCOME_TTL_S,
        )
        if self._bytes + _outcome_bytes(outcome) > self._max_bytes:
            entry = dataclasses.replace(
                entry, state=EntryState.FORGOTTEN, outcome=None
            )
        self._put(request_id, entry)

    def release(self, request_id: str) -> None:
        """Removes the entry of a running request that certainly did not run."""
        self._running_entry(request_id)
        self._remove(request_id)

    def refuse(self, request_id: str, now_s: float) -> bool:
        """Refuses a request for ever; false when there is no room for it.

        The id must be unknown, running without having reached the upstream,
        or already refused.
        """
        return self._prevent_run(request_id, EntryState.REFUSED, "", now_s)

    def move(self, request_id: str, moved_to: str, now_s: float) -> bool:
        """Hands a request that never ran here to another instance."""
        return self._prevent_run(request_id, EntryState.MOVED, moved_to, now_s)

    def expire(self, now_s: float) -> None:
        """Replaces expired entries by markers and drops expired markers."""
        while self._expiry_times:
            request_id, expires_at_s = next(iter(self._expiry_times.items()))
            if expires_at_s > now_s:
                break
            entry = self._entries[request_id]
            self._remove(request_id)
            self._add_marker(request_id, entry)
        while self._markers:
            marker = next(iter(self._markers.values()))
            if marker.expires_at_s > now_s:
                break
            self._markers.popitem(last=False)

    def _running_entry(self, request_id: str) -> Entry:
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not EntryState.RUNNING:
            raise AssertionError(f"request {request_id} is not running")
        return entry

    def _prevent_run(
        self, request_id: str, state: EntryState, moved_to: str, now_s: float
    ) -> bool:
        self.expire(now_s)
        known = self._entries.get(request_id) or self._markers.get(request_id)
        ran_states = (EntryState.FINISHED, EntryState.FORGOTTEN)
        if known is not None and known.state in ran_states:
            raise AssertionError(f"request {request_id} has run")
        is_full = len(self._entries) >= self._max_entries
        if is_full and request_id not in self._entries:
            return False
        entry = Entry(
            state,
            known.digest if known is not None else b"",
            moved_to=moved_to,
            is_refused_for_ever=known is not None and known.is_refused_for_ever,
            expires_at_s=now_s + OUTCOME_TTL_S,
        )
        if state is EntryState.REFUSED:
            entry = dataclasses.replace(entry, is_refused_for_ever=True)
        self._put(request_id, entry)
        return True

    def _add_marker(self, request_id: str, entry: Entry) -> None:
        state = entry.state
        if state is EntryState.FINISHED:
            state = EntryState.FORGOTTEN
        extra_s = MARKER_TTL_S - OUTCOME_TTL_S
        self._markers[request_id] = dataclasses.replace(
            entry,
            state=state,
            outcome=None,
            expires_at_s=entry.expires_at_s + extra_s,
        )
        if len(self._markers) > self._max_markers:
            self._markers.popitem(last=False)

    def _put(self, request_id: str, entry: Entry) -> None:
        if request_id in self._entries:
            self._remove(request_id)
        self._markers.pop(request_id, None)
        self._entries[request_id] = entry
        self._bytes += entry.size_bytes
        if entry.state is not EntryState.RUNNING:
            self._expiry_times[request_id] = entry.expires_at_s

    def _remove(self, request_id: str) -> None:
        self._bytes -= self._entries.pop(request_id).size_bytes
        self._expiry_times.pop(request_id, None)
