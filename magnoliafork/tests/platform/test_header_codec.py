"""Headers of requests and answers on the platform."""

import pytest

from magnoliafork.mesh.header_codec import HealthHeaders, UpstreamNotice
from magnoliafork.platform import names
from magnoliafork.platform.header_codec import PlatformHeaderCodec

CODEC = PlatformHeaderCodec()
ID = (names.ATTEMPT_ID, "9c41")


def test_caller_headers_are_parsed() -> None:
    """Guards against ignoring a deadline whose header is in lower case."""
    caller_headers = CODEC.parse_caller_headers(
        [ID, ("magnoliafork-deadline-ms", "2500")]
    )
    assert caller_headers.attempt_id == "9c41"
    assert caller_headers.remaining_ms == 2500
    assert CODEC.parse_caller_headers([]).remaining_ms is None


def test_callers_cannot_name_another_service() -> None:
    """Guards against a caller that an upstream takes for another service."""
    forwarded = CODEC.forwarded_headers(
        [ID, (names.CALLER_SERVICE.upper(), "forged"), ("X-A", "1")], "own"
    )
    assert forwarded == (ID, ("X-A", "1"), (names.CALLER_SERVICE, "own"))


def test_headers_of_one_connection_are_not_forwarded() -> None:
    """Guards against an upstream that misreads the end of a forwarded body."""
    headers = [
        ("Connection", "close, X-Local"),
        ("X-Local", "1"),
        ("Keep-Alive", "timeout=3"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "3"),
        ("traceparent", "kept"),
    ]
    assert CODEC.forwarded_headers(headers, "own") == (
        ("traceparent", "kept"),
        (names.CALLER_SERVICE, "own"),
    )


def test_upstream_gets_the_time_that_is_left() -> None:
    """The caller's own value would let it work for too long."""
    forwarded = CODEC.forwarded_headers(
        [ID, (names.DEADLINE_MS, "2500")], "own"
    )
    sent = dict(CODEC.add_attempt_headers(forwarded, "i-1", 900))
    assert sent[names.DEADLINE_MS] == "900"
    assert sent[names.EXPECT_INSTANCE] == "i-1"


def test_statuses_that_promise_nothing_ran() -> None:
    """Guards against repeating a request that may have run before its 503."""
    assert CODEC.parse_answer_headers(421, []).is_not_run
    assert CODEC.parse_answer_headers(
        503, [(names.NOT_EXECUTED, "1")]
    ).is_not_run
    assert not CODEC.parse_answer_headers(503, []).is_not_run


def test_success_needs_the_seal() -> None:
    """Guards against a success for the caller that no upstream produced."""
    assert not CODEC.parse_answer_headers(200, [ID]).is_genuine
    assert CODEC.parse_answer_headers(200, [ID, (names.SEAL, "s")]).is_genuine
    assert CODEC.parse_answer_headers(500, [ID]).is_genuine


def test_health_headers_are_parsed() -> None:
    """Guards against full load on a cold upstream, and failed health checks."""
    health_headers = CODEC.parse_health_headers(
        200, [(names.INSTANCE_ID, "i-1"), (names.COLD_MS, "1500")]
    )
    assert health_headers == HealthHeaders("i-1", 1.5)
    health_headers = CODEC.parse_health_headers(200, [(names.COLD_MS, "soon")])
    assert health_headers == HealthHeaders("", 0.0)


def test_time_that_is_not_finite_counts_as_no_number() -> None:
    """An infinite time raised an error, which ended the request or check."""
    for text in ("inf", "-inf", "nan", "1e400"):
        caller_headers = CODEC.parse_caller_headers([(names.DEADLINE_MS, text)])
        assert caller_headers.remaining_ms == 0
        health_headers = CODEC.parse_health_headers(
            200, [(names.COLD_MS, text)]
        )
        assert health_headers == HealthHeaders("", 0.0)


@pytest.mark.parametrize(
    ("headers", "notice"),
    [
        ([], UpstreamNotice()),
        ([("server-limit", "16.8")], UpstreamNotice(16.8)),
        ([(names.SERVER_LIMIT, "0")], UpstreamNotice(0.0)),
        (
            [(names.SERVER_LIMIT, "soon"), (names.SERVER_LEAVING, "1")],
            UpstreamNotice(is_limit_unreadable=True, is_leaving=True),
        ),
        (
            [(names.SERVER_LIMIT, "nan")],
            UpstreamNotice(is_limit_unreadable=True),
        ),
        (
            [(names.SERVER_LIMIT, "-1")],
            UpstreamNotice(is_limit_unreadable=True),
        ),
        ([(names.SERVER_LEAVING, "0")], UpstreamNotice()),
    ],
)
def test_statements_of_upstreams_are_parsed(
    headers: list[tuple[str, str]], notice: UpstreamNotice
) -> None:
    """Guards against taking an unreadable limit for the end of the limit."""
    answer = CODEC.parse_answer_headers(503, headers)
    assert answer.notice == notice
    health = CODEC.parse_health_headers(200, headers)
    assert health is not None
    assert health.notice == notice
