"""Requests that were running when upstreams crashed.

A request that crashes its upstream does the same to the next one, and callers
repeat it with new ids. All requests that ran on an upstream when it crashed are
suspects, because nothing tells which one caused it:

* After one crash, a suspect runs on one designated upstream, alone among the
  suspects there. An answer clears it at all nodes.
* After a second crash it is refused for a time. Then one attempt shows whether
  it still crashes its upstream, and each further crash doubles the time.
"""

import dataclasses
from collections.abc import Callable, Container, Iterable, Sequence

from magnoliafork.admission.ledger import request_digest
from magnoliafork.balance import rendezvous
from magnoliafork.mesh.model import UpstreamEntry
from magnoliafork.observe.events import Event
from magnoliafork.observe.logs import EventLog

# Crashes after which a request is refused.
REFUSED_CRASHES = 2
# Time for which it is refused, doubled by each further crash up to the maximum.
FIRST_REFUSAL_S = 30.0
MAX_REFUSAL_S = 600.0
# Time after its last crash, or after its refusal has ended, in which a suspect
# is remembered.
SUSPECT_EXPIRY_S = 60.0
# Time for which a cleared suspect is remembered, so that reports of earlier
# crashes that arrive late do not count.
CLEARED_EXPIRY_S = 10.0
# Most requests that are remembered. Those with the fewest crashes are dropped
# first, among them the oldest.
MAX_SUSPECTS = 1024
# Most crashes that are remembered of one request.
MAX_CRASHES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """End of an upstream while it ran a request.

    Attributes:
        upstream_id: Id of the upstream.
        started_unix_ms: Start of its incarnation.
    """

    upstream_id: str
    started_unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """What nodes tell each other about a suspect.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash: The crash, or None if an upstream has answered the request.
        at_s: Loop time of the crash or the answer.
    """

    fingerprint: bytes
    crash: Crash | None
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """How a suspect is treated.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashed_ids: Upstreams that crashed while they ran it.
        refused_for_s: Time for which it is refused; 0 if it may run alone.
    """

    fingerprint: bytes
    crashed_ids: frozenset[str]
    refused_for_s: float

    @property
    def is_refused(self) -> bool:
        """Whether the request must not run now."""
        return self.refused_for_s > 0


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes of one request since its last answer."""

    crashes_at_s: dict[Crash, float] = dataclasses.field(default_factory=dict)
    answered_at_s: float = float("-inf")

    @property
    def last_at_s(self) -> float:
        return max(self.crashes_at_s.values(), default=self.answered_at_s)

    @property
    def refused_until_s(self) -> float:
        return self.last_at_s + refusal_s(len(self.crashes_at_s))

    @property
    def expires_at_s(self) -> float:
        if not self.crashes_at_s:
            return self.answered_at_s + CLEARED_EXPIRY_S
        return self.refused_until_s + SUSPECT_EXPIRY_S


def fingerprint(service: str, method: str, path: str, body: bytes) -> bytes:
    """Returns what identifies a request when it is sent again.

    Headers are left out: ids and deadlines differ with each attempt.
    """
    return request_digest(f"{service} {method}", path, body)


def refusal_s(crashes: int) -> float:
    """Returns the time for which a request is refused after its last crash.

    >>> [refusal_s(crashes) for crashes in (1, 2, 3, 9)]
    [0.0, 30.0, 60.0, 600.0]
    """
    if crashes < REFUSED_CRASHES:
        return 0.0
    factor = 1 << min(crashes, MAX_CRASHES) - REFUSED_CRASHES
    return min(FIRST_REFUSAL_S * factor, MAX_REFUSAL_S)


def designated_upstream(
    entries: Sequence[UpstreamEntry],
    excluded_hosts: Container[str],
    suspicion: Suspicion,
) -> UpstreamEntry | None:
    """Returns the upstream that runs a suspect; None if there is none.

    All nodes choose the same one, so that a suspect runs only once at a time.
    """
    by_id = {
        entry.upstream_id: entry
        for entry in entries
        if entry.host not in excluded_hosts
        and entry.upstream_id not in suspicion.crashed_ids
    }
    ranked = rendezvous.rank(suspicion.fingerprint.hex(), by_id)
    return by_id[ranked[0]] if ranked else None


class CrashSuspects:
    """Table of the suspects that this node knows.

    Attributes:
        on_record: Called with each record that is new to this node.
    """

    def __init__(self, clock: Callable[[], float], log: EventLog) -> None:
        """Creates an empty table."""
        self._clock = clock
        self._log = log
        self._suspects: dict[bytes, _Suspect] = {}
        self.on_record: Callable[[CrashRecord], None] = lambda _: None

    def __len__(self) -> int:
        """Returns the number of remembered requests."""
        return len(self._suspects)

    def suspicion(
        self, service: str, method: str, path: str, body: bytes
    ) -> Suspicion | None:
        """Returns how a request is treated, or None if it is no suspect."""
        # Most nodes know no suspect most of the time.
        if not self._suspects:
            return None
        return self.suspicion_of(fingerprint(service, method, path, body))

    def suspicion_of(self, key: bytes) -> Suspicion | None:
        """Returns how the request with a fingerprint is treated."""
        suspect = self._suspects.get(key)
        now_s = self._clock()
        if suspect is None or not suspect.crashes_at_s:
            return None
        if now_s >= suspect.expires_at_s:
            return None
        return Suspicion(
            key,
            frozenset(crash.upstream_id for crash in suspect.crashes_at_s),
            max(0.0, suspect.refused_until_s - now_s),
        )

    def record_crash(self, key: bytes, entry: UpstreamEntry) -> None:
        """Records that an upstream crashed while it ran a request."""
        crash = Crash(entry.upstream_id, entry.started_unix_ms)
        self.merge(CrashRecord(key, crash, self._clock()))

    def record_answer(self, key: bytes) -> None:
        """Clears a request that an upstream has answered."""
        if self.suspicion_of(key) is not None:
            self.merge(CrashRecord(key, None, self._clock()))

    def merge(self, record: CrashRecord) -> bool:
        """Adds a record; returns whether it is new.

        The result does not depend on the order of the records.
        """
        suspect = self._suspects.get(record.fingerprint)
        if suspect is None:
            suspect = _Suspect()
        if record.at_s <= suspect.answered_at_s:
            return False
        if record.crash is None:
            suspect.answered_at_s = record.at_s
            suspect.crashes_at_s = {
                crash: at_s
                for crash, at_s in suspect.crashes_at_s.items()
                if at_s > record.at_s
            }
        elif (
            record.crash in suspect.crashes_at_s
            or len(suspect.crashes_at_s) >= MAX_CRASHES
        ):
            return False
        else:
            suspect.crashes_at_s[record.crash] = record.at_s
        if self._clock() >= suspect.expires_at_s:
            return False
        self._suspects[record.fingerprint] = suspect
        self._log_record(record, suspect)
        self._limit_size()
        self.on_record(record)
        return True

    def records(self) -> Iterable[CrashRecord]:
        """Yields all that is known of suspects, for a new neighbour."""
        for key, suspect in self._suspects.items():
            for crash, at_s in suspect.crashes_at_s.items():
                yield CrashRecord(key, crash, at_s)

    def tick(self) -> None:
        """Forgets what has expired."""
        now_s = self._clock()
        for key, suspect in list(self._suspects.items()):
            if now_s >= suspect.expires_at_s:
                del self._suspects[key]

    def _limit_size(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        dropped = min(
            self._suspects,
            key=lambda key: (
                len(self._suspects[key].crashes_at_s),
                self._suspects[key].last_at_s,
            ),
        )
        del self._suspects[dropped]

    def _log_record(self, record: CrashRecord, suspect: _Suspect) -> None:
        if record.crash is None:
            self._log.info(
                Event.SUSPECT_CLEARED, fingerprint=record.fingerprint.hex()
            )
            return
        self._log.warning(
            Event.REQUEST_SUSPECTED,
            fingerprint=record.fingerprint.hex(),
            upstream=record.crash.upstream_id,
            crashes=len(suspect.crashes_at_s),
            refused_for_s=refusal_s(len(suspect.crashes_at_s)),
        )
