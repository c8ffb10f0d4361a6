"""Upstreams stay in use when their entries expire in a store outage."""

import dataclasses

from magnoliafork.mesh.upstream_table import (
    OUTAGE_EFFECT_WINDOW_S,
    REMOVAL_DELAY_S,
    REWRITE_WINDOW_S,
    UpstreamTable,
)
from magnoliafork.tests.mesh.builders import PublishedState, config, entry

DRAIN_TIMEOUT_S = 2.0
OUTAGE_S = 5.0


class Clock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


def make() -> tuple[PublishedState, UpstreamTable, Clock]:
    published, clock = PublishedState(), Clock()
    table = UpstreamTable(published.view, clock, DRAIN_TIMEOUT_S)
    return published, table, clock


def end_outage(table: UpstreamTable, clock: Clock) -> None:
    clock.now_s += OUTAGE_S
    table.record_outage_end(0.0)


def ids(table: UpstreamTable) -> list[str]:
    return [e.upstream_id for e in table.of_service("catalogue")]


def test_removal_without_an_outage_takes_effect_at_once() -> None:
    """Requests would fail at upstreams that are gone."""
    published, table, _ = make()
    published.announce(entry("a"))
    published.withdraw(entry("a"))
    assert ids(table) == []


def test_entries_that_expired_in_an_outage_stay_in_use() -> None:
    """A service had no upstream for two seconds after an outage."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    published.withdraw(entry("a"))
    assert ids(table) == ["a"]
    clock.now_s += REWRITE_WINDOW_S + 0.1
    table.tick(clock.now_s)
    assert ids(table) == []


def test_reports_of_peers_do_not_postpone_the_end_of_an_outage() -> None:
    """Removed upstreams got requests for longer than an outage excuses."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    published.withdraw(entry("a"))
    _, peer, _ = make()
    peer._clock = clock
    transfer_s = 0.02
    for _ in range(60):
        ago_s = table.outage_ended_ago_s()
        clock.now_s += transfer_s
        peer.record_outage_end(ago_s)
        ago_s = peer.outage_ended_ago_s()
        clock.now_s += transfer_s
        table.record_outage_end(ago_s)
    table.tick(clock.now_s)
    assert clock.now_s > 1000.0 + OUTAGE_S + REWRITE_WINDOW_S
    assert ids(table) == []


def test_removed_upstream_is_not_used_beyond_its_drain_timeout() -> None:
    """Requests reached upstreams that had left the store too long before."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    clock.now_s += OUTAGE_EFFECT_WINDOW_S - 0.01
    published.withdraw(entry("a"))
    clock.now_s += DRAIN_TIMEOUT_S - REMOVAL_DELAY_S + 0.02
    table.tick(clock.now_s)
    assert ids(table) == []


def test_expired_entry_is_not_used_until_the_next_tick() -> None:
    """Removed upstreams got requests for up to a tick too long."""
    published, table, clock = make()
    upstream = entry("a")
    published.announce(upstream)
    end_outage(table, clock)
    published.withdraw(upstream)
    clock.now_s += REWRITE_WINDOW_S
    assert ids(table) == []
    assert table.at(upstream.host, upstream.port) is None


def test_expired_entry_that_is_written_again_is_not_listed_twice() -> None:
    """An upstream would get twice its share of requests."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    published.withdraw(entry("a"))
    published.announce(entry("a"))
    assert ids(table) == ["a"]
    clock.now_s += REWRITE_WINDOW_S + 0.1
    table.tick(clock.now_s)
    assert ids(table) == ["a"]


def test_expired_entry_is_dropped_when_its_address_is_used_again() -> None:
    """The new upstream at the address may belong to another service."""
    published, table, clock = make()
    old = entry("a", host="10.0.0.9")
    published.announce(old)
    end_outage(table, clock)
    published.withdraw(old)
    published.announce(entry("b", host="10.0.0.9", service="orders"))
    assert ids(table) == []


def test_entry_of_a_draining_upstream_is_not_kept_after_an_outage() -> None:
    """An upstream that leaves would be taken for a running one."""
    published, table, clock = make()
    draining = entry("a", is_ready=False)
    published.announce(draining)
    end_outage(table, clock)
    published.withdraw(draining)
    assert table.at(draining.host, draining.port) is None


def test_removal_well_after_an_outage_takes_effect_at_once() -> None:
    """An upstream that leaves later must not get work after its removal."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    clock.now_s += 1.0
    published.withdraw(entry("a"))
    assert ids(table) == []


def test_evacuated_and_draining_upstreams_get_no_work() -> None:
    """Requests would go to upstreams that are taken out of service."""
    published, table, _ = make()
    published.announce(entry("a"))
    published.announce(dataclasses.replace(entry("b"), zone="rawdon"))
    published.announce(entry("c", is_ready=False))
    published.evacuate_zone("rawdon")
    assert ids(table) == ["a"]
    published.return_zone("rawdon")
    assert ids(table) == ["a", "b"]


def test_entry_of_a_crashed_upstream_is_replaced_by_its_successor() -> None:
    """Both entries had one address, so its node got twice its share of work."""
    published, table, _ = make()
    published.announce(entry("a", host="10.0.0.9", started_unix_ms=1))
    published.announce(entry("b", host="10.0.0.9", started_unix_ms=2))
    assert ids(table) == ["b"]


def test_upstream_that_states_to_leave_gets_requests_until_it_is_removed() -> (
    None
):
    """Requests failed at an upstream that stopped before its entry changed."""
    published, table, _ = make()
    published.announce(entry("a"))
    changes = table.change_count
    table.record_leaving("a", 1)
    assert ids(table) == []
    # Candidates are cached until the count changes.
    assert table.change_count > changes
    # The store may publish the entry again, with another state.
    published.announce(entry("a", cold_left_s=1.0))
    assert ids(table) == []


def test_leaving_ends_with_the_incarnation() -> None:
    """An upstream that restarts under its id would get no requests."""
    published, table, _ = make()
    published.announce(entry("a"))
    table.record_leaving("a", 1)
    published.announce(entry("a", started_unix_ms=2))
    assert ids(table) == ["a"]
    assert not table.is_leaving(entry("a", started_unix_ms=2))


def test_earlier_end_of_an_outage_shortens_the_use_of_expired_entries() -> None:
    """A removed upstream got requests after its drain timeout."""
    published, table, clock = make()
    published.announce(entry("a"))
    end_outage(table, clock)
    published.withdraw(entry("a"))
    table.record_outage_end(0.3)
    clock.now_s += REWRITE_WINDOW_S - 0.2
    assert ids(table) == []


def test_end_of_an_outage_is_told_since_its_begin() -> None:
    """A reader that was answered later reported a second outage."""
    _, table, clock = make()
    end_outage(table, clock)
    assert table.outage_ended_after_s(clock.now_s - 1.0) == clock.now_s
    assert table.outage_ended_after_s(clock.now_s) is None


def test_entry_of_another_writer_does_not_end_the_use_of_an_expired_one() -> (
    None
):
    """Upstreams whose entries expired in an outage got no work after it."""
    published, table, clock = make()
    own = entry("a")
    other = entry("z", host=own.host, service="inventory", started_unix_ms=9)
    published.configure(config())
    published.announce(own)
    end_outage(table, clock)
    published.withdraw(own)
    published.announce(other)
    assert ids(table) == ["a"]
    assert table.at(own.host, own.port) is own


def test_expired_entry_of_another_writer_stands_for_no_address() -> None:
    """The node beside an upstream took it for one of another service."""
    published, table, clock = make()
    other = entry("z", service="inventory")
    published.configure(config())
    published.announce(other)
    end_outage(table, clock)
    published.withdraw(other)
    assert table.at(other.host, other.port) is None
