"""At-most-once table of the requests that may not be repeated."""

import collections
import dataclasses
import enum
import hashlib

from magnoliafork.model.request import Answered, Outcome

OUTCOME_TTL_S = 120.0
# Facts without bodies outlive the outcomes, so that a caller that repeats a
# key late is told "unknown" and does not start a second run.
MARKER_TTL_S = 600.0
# A node of the target fleet serves about 122 calls/s; even if none could be
# repeated, 120 s of them fit.
MAX_ENTRIES = 17_000
MAX_BYTES = 8 * 1024 * 1024
MAX_MARKERS = 10_000
# Memory of an entry besides the answer's headers and body; 481 bytes were
# measured with 125 bytes of headers and body.
ENTRY_OVERHEAD_BYTES = 384
# Share of the entries that only fences may use: a fence that cannot store its
# tombstone leaves the sender without a certain outcome.
FENCE_RESERVE_DIVISOR = 8


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest by which a reused key is found.

    >>> request_digest("POST", "/a", b"") == request_digest("POST", "/", b"a")
    False
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class EntryState(enum.Enum):
    """What the ledger knows about one request id."""

    RUNNING = "running"
    FINISHED = "finished"
    FORGOTTEN = "forgotten"
    REFUSED = "refused"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One request id.

    Attributes:
        state: State of the request.
        digest: Digest of the request, empty when only a fence named the id.
        outcome: Outcome of a finished request.
        moved_to: Instance that took a moved request over, else empty.
        is_refused_for_ever: Whether the request was refused for ever, even if it has
            moved since.
        expires_at_s: Time at which the entry may go; a running entry stays.
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
    """Maps request ids to what became of them.

    Entries are never dropped before their time. When the table is full, new
    requests are refused instead. After its time an entry is reduced to a
    marker; markers are bounded and the oldest ones go first.
    """

    def __init__(
        self,
        max_entries: int = MAX_ENTRIES,
        max_bytes: int = MAX_BYTES,
        max_markers: int = MAX_MARKERS,
    ) -> None:
        """Creates an empty ledger with its bounds."""
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._max_markers = max_markers
        self._entries: dict[str, Entry] = {}
        # Ids in the order of expiry; every entry is kept equally long.
        self._expiring: collections.OrderedDict[str, float] = (
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

        A moved request that comes back to this instance may be started; any
        other known id must not be.
        """
        self.expire(now_s)
        known = self._entries.get(request_id) or self._markers.get(request_id)
        is_moved = known is not None and known.state is EntryState.MOVED
        if known is not None and (not is_moved or known.is_refused_for_ever):
            raise AssertionError(f"request {request_id} is already known")
        reserve = self._max_entries // FENCE_RESERVE_DIVISOR
        if len(self._entries) >= self._max_entries - reserve:
            return False
        if self._bytes + ENTRY_OVERHEAD_BYTES > self._max_bytes:
            return False
        self._put(request_id, Entry(EntryState.RUNNING, digest))
        return True

    def finish(self, request_id: str, outcome: Outcome, now_s: float) -> None:
        """Keeps the outcome of a running request.

        An answer that does not fit into the bytes left is not kept, only the
        fact that the request ran.
        """
        running = self._running(request_id)
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
        """Forgets a running request that certainly did not run."""
        self._running(request_id)
        self._remove(request_id)

    def refuse(self, request_id: str, now_s: float) -> bool:
        """Refuses a request for ever; false when there is no room for it.

        The id must be unknown, running without having reached the upstream,
        or already refused.
        """
        return self._block(request_id, EntryState.REFUSED, "", now_s)

    def move(self, request_id: str, moved_to: str, now_s: float) -> bool:
        """Binds a request that never ran here to another instance."""
        return self._block(request_id, EntryState.MOVED, moved_to, now_s)

    def expire(self, now_s: float) -> None:
        """Reduces entries whose time has passed to markers."""
        while self._expiring:
            request_id, expires_at_s = next(iter(self._expiring.items()))
            if expires_at_s > now_s:
                break
            entry = self._entries[request_id]
            self._remove(request_id)
            self._mark(request_id, entry)
        while self._markers:
            marker = next(iter(self._markers.values()))
            if marker.expires_at_s > now_s:
                break
            self._markers.popitem(last=False)

    def _running(self, request_id: str) -> Entry:
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not EntryState.RUNNING:
            raise AssertionError(f"request {request_id} is not running")
        return entry

    def _block(
        self, request_id: str, state: EntryState, moved_to: str, now_s: float
    ) -> bool:
        self.expire(now_s)
        known = self._entries.get(request_id) or self._markers.get(request_id)
        ran = (EntryState.FINISHED, EntryState.FORGOTTEN)
        if known is not None and known.state in ran:
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

    def _mark(self, request_id: str, entry: Entry) -> None:
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
            self._expiring[request_id] = entry.expires_at_s

    def _remove(self, request_id: str) -> None:
        self._bytes -= self._entries.pop(request_id).size_bytes
        self._expiring.pop(request_id, None)
