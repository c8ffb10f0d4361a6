// Messages between nodes. Field numbers are never reused.

struct Hello {
    1: i32 protocol
    2: string instance_id
    3: i64 incarnation
    4: i64 link_generation
    5: i64 version_number
    6: string version_digest
    7: string purpose
}

struct Heartbeat {
    1: bool is_reply
    2: i64 version_number
    3: string version_digest
    4: string membership_digest
    5: i32 active
    6: i32 limit
    7: i64 sequence
}

struct Announce {
    1: i64 version_number
    2: string version_digest
}

struct DeltaRequest {
    1: i64 transfer_id
    2: i64 base_number
    3: string base_digest
}

struct PartEntry {
    1: string name
    2: string digest
    3: i32 size_bytes
}

struct DeltaReply {
    1: i64 transfer_id
    2: bool is_busy
    3: bool is_full
    4: i32 format
    5: i64 version_number
    6: string version_digest
    7: list<PartEntry> changed
    8: list<string> removed
    9: list<binary> contents
    10: bool has_more
}

struct MemberEntry {
    1: string instance_id
    2: string service_name
    3: string zone
    4: string region
    5: string host
    6: i32 peer_port
    7: i64 incarnation
    8: i32 state
}

struct MembershipUpdate {
    1: list<MemberEntry> members
    2: bool is_full
}

struct MembershipRequest {
    1: string membership_digest
}

struct ProbeRequest {
    1: i64 probe_id
    2: string target_id
}

struct ProbeReply {
    1: i64 probe_id
    2: string target_id
    3: bool is_reachable
}

struct CallRequest {
    1: i64 stream_id
    2: string request_id
    3: string service_name
    4: string method
    5: string path
    6: list<string> header_names
    7: list<string> header_values
    8: binary body
    9: bool repeatable
    10: i32 priority
    11: string traceparent
    12: i32 remaining_ms
    13: bool is_keyed
    14: bool is_first_attempt
    15: string upstream_id
    16: i32 target_latency_ms
    17: i32 age_ms
    18: i32 rate_limit_milli
    19: string tenant
    20: binary key_digest
    21: i64 config_version
}

struct CallAnswer {
    1: i64 stream_id
    2: i32 status
    3: list<string> header_names
    4: list<string> header_values
    5: binary body
    6: i32 active
    7: i32 limit
    8: i32 queued
    9: i32 mean_work_ms
    10: i32 failure_permille
    11: string upstream_id
    12: i64 upstream_started_ms
    13: i32 rate_limit_milli
    14: i32 rate_wait_ms
    15: bool is_leaving
}

struct CallRefused {
    1: i64 stream_id
    2: string reason
    3: i32 retry_after_ms
    4: i32 active
    5: i32 limit
    6: string moved_to
    7: i32 queued
    8: i32 mean_work_ms
    9: i32 failure_permille
    10: string upstream_id
    11: i64 upstream_started_ms
    12: i32 rate_limit_milli
    13: i32 rate_wait_ms
    14: bool is_leaving
}

struct CallUnknown {
    1: i64 stream_id
    2: string reason
}

struct CallCancel {
    1: i64 stream_id
}

struct CallFence {
    1: i64 stream_id
    2: string request_id
    3: i64 incarnation
    4: i32 remaining_ms
    5: string moved_to
    6: bool is_repeatable
}

struct CallFenceReply {
    1: i64 stream_id
    2: string state
}

struct ViewAnnounce {
    1: i64 revision
    2: i32 source_age_ms
    3: i32 outage_ended_ms
    4: i32 view_age_ms
    5: string view_reader
    6: i64 era
    7: i32 era_age_ms
    8: i64 config_version
    9: bool accepts_crash_reports
    10: i64 clock_ms
    11: i64 echoed_ms
    12: i64 echoed_at_ms
    13: i64 proved_at_ms
    14: i64 clock_id
    15: i64 echoed_id
    16: i64 heartbeat_id
    17: i32 heartbeat_number
    18: bool relays_heartbeats
}

struct CrashReport {
    1: binary fingerprint
    2: string upstream_id
    3: i64 upstream_started_ms
    4: i32 age_ms
    5: bool is_answered
}

struct CrashReports {
    1: list<CrashReport> reports
}

struct ViewRequest {
    1: i64 after_revision
    2: bool accepts_patches
    3: i64 era
    4: bool accepts_parts
}

struct ViewReply {
    1: i64 base_revision
    2: i64 revision
    3: list<string> keys
    4: list<i64> revisions
    5: list<binary> values
    6: list<i64> patched_revisions
    7: i64 era
    8: i32 part
    9: i32 parts
}

struct GoAway {
    1: i64 last_stream_id
}

struct QuotaRequest {
    1: i64 stream_id
    2: string tenant
    3: i32 wanted
}

struct QuotaReply {
    1: i64 stream_id
    2: i32 granted
    3: i32 retry_after_ms
    4: bool is_owner
}
