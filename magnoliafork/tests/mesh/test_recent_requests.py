"""What a node remembers of the requests that its upstream got."""

import pytest

from magnoliafork.mesh import recent_requests
from magnoliafork.mesh.recent_requests import WINDOW_S, RecentRequests


def test_requests_are_known_for_a_whole_window() -> None:
    """A request that was sent shortly before a window ends would be unknown."""
    recent = RecentRequests()
    recent.add("first", 100.0)
    recent.add("r", 100.0 + WINDOW_S - 0.1)
    assert recent.may_contain("r", 100.0 + 2 * WINDOW_S - 0.2)
    assert not recent.may_contain("other", 100.0)


def test_forgotten_requests_need_no_memory() -> None:
    """The ids of all requests since the start would be kept."""
    recent = RecentRequests()
    recent.add("r", 100.0)
    assert not recent.may_contain("r", 100.0 + 3 * WINDOW_S)


def test_requests_beyond_the_limit_may_have_been_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that was sent but not kept would run a second time."""
    monkeypatch.setattr(recent_requests, "MAX_REQUESTS", 2)
    recent = RecentRequests()
    for number in range(3):
        recent.add(f"r{number}", 100.0)
    assert recent.may_contain("r2", 100.0 + WINDOW_S - 0.1)
