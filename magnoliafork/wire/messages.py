"""Typed messages between nodes.

Every dataclass has a thrift structure of the same name with the same fields
in `peer.thrift`; only the lists of the structures are tuples here.
"""

import dataclasses
import enum


class FenceState(enum.StrEnum):
    """What a receiver knows about a fenced request."""

    NEVER_RAN = "never_ran"
    NEVER_SENT = "never_sent"
    FORGOTTEN = "forgotten"
    OTHER_INCARNATION = "other_incarnation"


class LinkPurpose(enum.StrEnum):
    """What a connection between two nodes carries."""

    CONTROL = "control"
    CALLS = "calls"
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction of a connection."""

    protocol: int
    instance_id: str
    incarnation: int
    link_generation: int
    version_number: int
    version_digest: str
    purpose: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that a peer is alive, its load and which state it holds."""

    is_reply: bool
    version_number: int
    version_digest: str
    membership_digest: str
    active: int
    limit: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Announces the version that the sender has in force."""

    version_number: int
    version_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeltaRequest:
    """Asks for the receiver's version as a delta to a base version."""

    transfer_id: int
    base_number: int
    base_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartEntry:
    """One entry of a manifest."""

    name: str
    digest: str
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeltaReply:
    """Changed manifest entries and part contents.

    A full reply lists every entry of the manifest in `changed`. Contents may
    be split over several replies; `has_more` is false on the last one.
    """

    transfer_id: int
    is_busy: bool
    is_full: bool
    format: int
    version_number: int
    version_digest: str
    changed: tuple[PartEntry, ...]
    removed: tuple[str, ...]
    contents: tuple[bytes, ...]
    has_more: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MemberEntry:
    """One row of the membership table."""

    instance_id: str
    service_name: str
    zone: str
    region: str
    host: str
    peer_port: int
    incarnation: int
    state: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Changed rows of the membership table, or all of them."""

    members: tuple[MemberEntry, ...]
    is_full: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipRequest:
    """Asks for the whole membership table."""

    membership_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer to try to reach a third node."""

    probe_id: int
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """Result of an indirect probe."""

    probe_id: int
    target_id: str
    is_reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A request for the receiver's upstream.

    `is_keyed` means that the request id comes from the caller's idempotency
    key, so other instances may have to be fenced first; `is_first_attempt`
    means that the caller has never sent this key before. `rate_limit_milli` is
    the limit of `upstream_id` as the sender knows it, in requests per 1000 s; 0
    if it knows none. `key_digest` identifies the key of the tenant by the
    configuration `config_version`; it is empty for requests without one.
    """

    stream_id: int
    request_id: str
    service_name: str
    method: str
    path: str
    header_names: tuple[str, ...]
    header_values: tuple[str, ...]
    body: bytes
    repeatable: bool
    priority: int
    traceparent: str
    remaining_ms: int
    is_keyed: bool
    is_first_attempt: bool
    upstream_id: str = ""
    target_latency_ms: int = 0
    age_ms: int = 0
    rate_limit_milli: int = 0
    tenant: str = ""
    key_digest: bytes = b""
    config_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """The upstream's complete answer.

    The last fields tell what an upstream has stated about itself, and are empty
    if it has stated nothing: its id and start, its rate limit in requests per
    1000 s, the time until the limit allows another request, and whether it is
    about to stop.
    """

    stream_id: int
    status: int
    header_names: tuple[str, ...]
    header_values: tuple[str, ...]
    body: bytes
    active: int
    limit: int
    queued: int = 0
    mean_work_ms: int = 0
    failure_permille: int = 0
    upstream_id: str = ""
    upstream_started_ms: int = 0
    rate_limit_milli: int = 0
    rate_wait_ms: int = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallRefused:
    """The request was not run here.

    With the reason `moved`, `moved_to` names the instance that has taken the
    request over; otherwise it is empty. The last fields are those of
    `CallAnswer`; without a limit they do not tell that the limit has ended.
    """

    stream_id: int
    reason: str
    retry_after_ms: int
    active: int
    limit: int
    moved_to: str
    queued: int = 0
    mean_work_ms: int = 0
    failure_permille: int = 0
    upstream_id: str = ""
    upstream_started_ms: int = 0
    rate_limit_milli: int = 0
    rate_wait_ms: int = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallUnknown:
    """The receiver cannot tell whether the upstream ran the request."""

    stream_id: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallCancel:
    """The sender no longer wants the answer."""

    stream_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallFence:
    """Asks for the outcome of a request and prevents later runs of it.

    The reply is `CallAnswer`, `CallRefused` or `CallUnknown` when the request
    has an outcome (the receiver waits for a running one), otherwise
    `CallFenceReply`. A request that never ran here is bound to the instance in
    `moved_to` from now on; if `moved_to` is empty, it is refused permanently.

    A request that may be repeated has no outcome here. The reply is
    `NEVER_SENT` if the upstream certainly did not get it, otherwise
    `FORGOTTEN`. Nodes of earlier releases ignore `is_repeatable` and may reply
    `NEVER_RAN`, which says nothing about such a request.
    """

    stream_id: int
    request_id: str
    incarnation: int
    remaining_ms: int
    moved_to: str
    is_repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallFenceReply:
    """What the receiver knows about a request without an outcome."""

    stream_id: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewAnnounce:
    """Announces the revision of the published state that the sender holds.

    Attributes:
        revision: Revision up to which the sender's view is complete.
        source_age_ms: Time since the sender last heard from the store.
        outage_ended_ms: Time since the last outage of the store ended.
        view_age_ms: Time since the newest answer of the store that the sender
            knows of, whoever got it; 0 if an earlier release does not tell.
        view_reader: Host that got that answer.
        era: Era of the store that the revision is of; 0 if an earlier release
            or the store does not tell.
        era_age_ms: Time since the store was restored to that era; 0 if the
            sender has not seen an earlier one.
        config_version: Newest version of the configuration that the sender
            knows; it may be newer than a restored store.
        accepts_crash_reports: Whether the sender knows `CrashReports`.
        clock_ms: Clock of the sender when it sent this; 0 unless it exchanges
            proofs that its view is current.
        echoed_ms: Clock of the receiver in the last announcement from it that
            the sender has got; 0 if there is none.
        echoed_at_ms: Clock of the sender when it got that one.
        proved_at_ms: Clock of the sender when its view was certainly current;
            0 if it has no proof.
        clock_id: Names the process of the sender, and so its clock.
        echoed_id: Names the process whose clock is echoed.
        heartbeat_id: Names the process that reads the store whose heartbeat the
            sender has heard last; 0 if it has heard none for a while.
        heartbeat_number: Number of that heartbeat.
        relays_heartbeats: Whether the sender knows heartbeats.
    """

    revision: int
    source_age_ms: int
    outage_ended_ms: int
    view_age_ms: int = 0
    view_reader: str = ""
    era: int = 0
    era_age_ms: int = 0
    config_version: int = 0
    accepts_crash_reports: bool = False
    clock_ms: int = 0
    echoed_ms: int = 0
    echoed_at_ms: int = 0
    proved_at_ms: int = 0
    clock_id: int = 0
    echoed_id: int = 0
    heartbeat_id: int = 0
    heartbeat_number: int = 0
    relays_heartbeats: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What a node knows of a request that ran when an upstream crashed.

    Attributes:
        fingerprint: Digest that identifies the request.
        upstream_id: Id of the upstream; empty if an upstream has answered.
        upstream_started_ms: Start of its incarnation.
        age_ms: Time since the crash or the answer.
        is_answered: Whether an upstream has answered the request, so that
            earlier crashes do not count.
    """

    fingerprint: bytes
    upstream_id: str
    upstream_started_ms: int
    age_ms: int
    is_answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReports:
    """Reports that are new to the sender, or all for a new neighbour."""

    reports: tuple[CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewRequest:
    """Asks for everything that changed after a revision; 0 asks for all.

    Attributes:
        after_revision: Revision that the view of the sender has reached.
        accepts_patches: Whether the reply may contain patches.
        era: Era of the revision.
        accepts_parts: Whether a large reply may be sent in parts.
    """

    after_revision: int
    accepts_patches: bool = False
    era: int = 0
    accepts_parts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ViewReply:
    """Changed items of the published state.

    Attributes:
        base_revision: Revision that the changes build on; 0 when the items
            are the whole state.
        revision: Revision of the state once the changes are applied.
        keys: Keys of the changed items.
        revisions: Revision of each item.
        values: Deflated value or patch of each item; empty when it was removed.
        patched_revisions: For each item the revision of the value that its
            patch applies to, or 0 if the value is whole; empty if all are.
        era: Era of all revisions.
        part: Number of this part, from 1, if the reply is sent in parts.
        parts: Number of the parts of the reply; 0 if it is whole.
    """

    base_revision: int
    revision: int
    keys: tuple[str, ...]
    revisions: tuple[int, ...]
    values: tuple[bytes, ...]
    patched_revisions: tuple[int, ...] = ()
    era: int = 0
    part: int = 0
    parts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GoAway:
    """The receiver of calls stops and accepts no more on this connection.

    Attributes:
        last_stream_id: Largest stream id that it has accepted, or 0. Calls and
            fences with larger ids have not been and will not be handled.
    """

    last_stream_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Asks an owner of a tenant's quota for tokens."""

    stream_id: int
    tenant: str
    wanted: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaReply:
    """Granted tokens.

    Attributes:
        stream_id: Id of the request's stream.
        granted: Number of tokens; they expire a fixed time after the request.
        retry_after_ms: Time after which another token is expected, if none is
            granted.
        is_owner: Whether the replying node owns a part of the quota.
    """

    stream_id: int
    granted: int
    retry_after_ms: int
    is_owner: bool


CallReply = CallAnswer | CallRefused | CallUnknown
StreamReply = CallReply | CallFenceReply
ControlMessage = (
    Heartbeat
    | Announce
    | DeltaRequest
    | DeltaReply
    | MembershipUpdate
    | MembershipRequest
    | ProbeRequest
    | ProbeReply
    | ViewAnnounce
    | ViewRequest
    | ViewReply
    | CrashReports
)
StreamMessage = CallRequest | CallCancel | CallFence | QuotaRequest
Message = (
    Hello | ControlMessage | StreamMessage | StreamReply | QuotaReply | GoAway
)
