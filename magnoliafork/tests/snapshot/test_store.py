"""The version in force must never go down, whatever is offered."""

import types

import hypothesis
from hypothesis import strategies as st

from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import RuleSet
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import NO_VERSION, Version
from magnoliafork.model.view import SnapshotView
from magnoliafork.snapshot import store
from magnoliafork.snapshot.errors import ConfigError, ConfigErrorKind

_EMPTY: frozenset[str] = frozenset()
_RULES = RuleSet({}, (), _EMPTY, _EMPTY, _EMPTY)
_ERROR = ConfigError(ConfigErrorKind.INVALID, "operations", "bad")


def _snapshot(version: Version) -> Snapshot:
    manifest = Manifest(1, version.number, ())
    return Snapshot(version, manifest, types.MappingProxyType({}), _RULES)


_VERSIONS = st.builds(Version, st.integers(1, 5), st.sampled_from("abc"))
_STEPS = st.lists(
    st.tuples(st.sampled_from(["offer", "reject", "observe"]), _VERSIONS),
    max_size=60,
)


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(steps=_STEPS)
def test_version_never_goes_down(steps: list[tuple[str, Version]]) -> None:
    """Guards against a node that returns to an older configuration."""
    subject = store.SnapshotStore()
    notified: list[Version] = []
    subject.subscribe(lambda snapshot: notified.append(snapshot.version))
    offered: set[Version] = {NO_VERSION}
    for now_s, (action, version) in enumerate(steps):
        if action == "offer":
            offered.add(version)
            subject.offer(_snapshot(version), now_s)
        elif action == "reject":
            subject.reject(version, [_ERROR], now_s)
            assert not subject.is_wanted(version)
        else:
            subject.observe(version, now_s)
        assert subject.version == max(offered)
        assert all(version > subject.version for version in subject.rejected)
    assert notified == sorted(set(notified))
    assert [NO_VERSION, *notified][-1] == subject.version


def test_outcome_follows_from_number_and_digest() -> None:
    """Guards against conflicts that are resolved or reported wrongly."""
    subject = store.SnapshotStore()
    two_b, two_a, two_c = (Version(2, digest) for digest in "bac")
    one = Version(1, "z")

    def offer(version: Version) -> store.OfferOutcome:
        return subject.offer(_snapshot(version), 5.0)

    assert offer(two_b) == store.Applied(two_b, NO_VERSION)
    assert offer(two_b) == store.Duplicate(two_b)
    assert offer(one) == store.IgnoredLower(one, two_b)
    assert offer(two_a) == store.IgnoredConflict(two_a, two_b)
    assert offer(two_c) == store.AppliedConflict(two_c, two_b)
    assert subject.observe(two_b, 6.0) == store.IgnoredConflict(two_b, two_c)
    assert subject.observe(Version(3, "a"), 6.0) is None
    assert subject.counts == store.StoreCounts(
        applied=2, ignored_lower=1, duplicates=1, conflicts=3
    )
    events = [(entry.event, entry.version) for entry in subject.history()]
    assert events == [
        (store.HistoryEvent.APPLIED, two_b),
        (store.HistoryEvent.IGNORED_CONFLICT, two_a),
        (store.HistoryEvent.APPLIED_CONFLICT, two_c),
        (store.HistoryEvent.IGNORED_CONFLICT, two_b),
    ]


def test_later_version_is_applied_after_a_rejected_one() -> None:
    """Guards against an invalid version that blocks later ones."""
    subject = store.SnapshotStore()
    view: SnapshotView = subject
    bad, good = Version(2, "a"), Version(3, "a")
    subject.reject(bad, [_ERROR], 1.0)
    assert view.current is None
    assert not subject.is_wanted(bad)
    assert subject.rejected[bad] == (_ERROR,)
    assert subject.is_wanted(good)
    subject.offer(_snapshot(good), 2.0)
    assert subject.version == good
    assert not subject.rejected


def test_rejections_and_history_are_bounded() -> None:
    """Guards against a faulty source that fills a node's memory."""
    subject = store.SnapshotStore()
    for number in range(1, 1_000):
        subject.reject(Version(number, "a"), [_ERROR] * 500, 1.0)
    assert len(subject.rejected) == store.MAX_REJECTED_VERSIONS
    assert not subject.is_wanted(Version(999, "a"))
    longest = max(len(errors) for errors in subject.rejected.values())
    assert longest == store.MAX_ERRORS_PER_REJECTION
    assert len(subject.history()) == store.MAX_HISTORY_ENTRIES


def test_subscribers_see_snapshots_in_order() -> None:
    """Guards against a subscriber that ends on the older snapshot."""
    subject = store.SnapshotStore()
    seen: list[tuple[int, Version]] = []

    def offer_next(snapshot: Snapshot) -> None:
        if snapshot.version.number == 1:
            subject.offer(_snapshot(Version(2, "a")), 1.0)

    def record(snapshot: Snapshot) -> None:
        seen.append((snapshot.version.number, subject.version))

    def fail(_: Snapshot) -> None:
        raise ValueError

    subject.subscribe(offer_next)
    subject.subscribe(fail)
    unsubscribe = subject.subscribe(record)
    subject.offer(_snapshot(Version(1, "a")), 1.0)
    assert seen == [(1, Version(2, "a")), (2, Version(2, "a"))]
    unsubscribe()
    subject.offer(_snapshot(Version(3, "a")), 1.0)
    assert len(seen) == 2
