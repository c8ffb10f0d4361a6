"""Choice of an instance by zone, load and health."""

import random
import time
from collections import Counter
from collections.abc import Sequence

import pytest

from magnoliafork.balance.candidates import CandidateIndex, Candidates
from magnoliafork.balance.chooser import Chooser
from magnoliafork.balance.ejection import (
    CONSECUTIVE_FAILURES,
    FIRST_EJECTION_S,
    OutlierEjection,
)
from magnoliafork.balance.load import HINT_LIFE_S, LoadTable
from magnoliafork.balance.retry import RetryBudget
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import RuleSet
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version


def _snapshot(
    zones_out: frozenset[str] = frozenset(),
    drained: frozenset[str] = frozenset(),
) -> Snapshot:
    rules = RuleSet({}, (), frozenset(), zones_out, drained)
    return Snapshot(Version(1, ""), Manifest(1, 1, ()), {}, rules)


class _Table:
    def __init__(self, count: int) -> None:
        self.change_count = 0
        self.members = [
            Member(
                Instance(f"i{n}", "s", f"z{n % 3}", f"r{n % 3 // 2}", "", 1),
                1,
                MemberState.ALIVE,
            )
            for n in range(count)
        ]

    def get(self, instance_id: str) -> Member | None:
        return next(
            (m for m in self.members if m.instance.instance_id == instance_id),
            None,
        )

    def members_of(self, service: str) -> Sequence[Member]:
        return self.members

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        return now_s


class _Setup:
    def __init__(self, count: int) -> None:
        self.table = _Table(count)
        self.load = LoadTable()
        self.ejection = OutlierEjection()
        self.index = CandidateIndex(self.table, "z0", "r0")
        self.chooser = Chooser(self.load, self.ejection, random.Random(1))
        self.snapshot = _snapshot()

    def candidates(self) -> Candidates:
        return self.index.of_service("s", self.snapshot)

    def zones(self, picks: int = 300) -> Counter[str]:
        found = [
            self.chooser.choose(self.candidates(), (), 100.0)
            for _ in range(picks)
        ]
        return Counter(m.instance.zone if m else "none" for m in found)

    def fill_zone(self, zone: str) -> None:
        for member in self.table.members:
            if member.instance.zone == zone:
                self.load.hint(member.instance.instance_id, 8, 8, 100.0)


def test_own_zone_first_then_own_region_then_elsewhere() -> None:
    """Guards against needless hops and against queues beside free zones."""
    setup = _Setup(30)
    assert setup.zones() == {"z0": 300}
    setup.fill_zone("z0")
    assert setup.zones() == {"z1": 300}
    setup.fill_zone("z1")
    assert setup.zones() == {"z2": 300}
    setup.fill_zone("z2")
    assert setup.zones()["none"] == 0


def test_old_hints_lose_their_weight() -> None:
    """Guards against a zone that is avoided for ever after one peak."""
    load = LoadTable()
    load.hint("a", 8, 8, 100.0)
    assert load.load("a", 100.0) == 1.0
    assert load.load("a", 100.0 + HINT_LIFE_S) == 0.0


def test_a_leaving_drained_or_out_instance_is_never_chosen() -> None:
    """Guards against new work for instances that must not get any."""
    setup = _Setup(4)
    setup.table.members[0] = Member(
        setup.table.members[0].instance, 1, MemberState.LEAVING
    )
    setup.snapshot = _snapshot(frozenset({"z1"}), frozenset({"i3"}))
    assert setup.candidates().instance_ids == ("i2",)


def test_suspects_and_ejected_instances_come_last() -> None:
    """Guards against work for bad instances while good ones are free."""
    setup = _Setup(6)
    instance = setup.table.members[0].instance
    setup.table.members[0] = Member(instance, 1, MemberState.SUSPECT)
    for _ in range(CONSECUTIVE_FAILURES):
        setup.ejection.failed("s", "i3", 6, 99.0)
    assert setup.zones() == {"z1": 300}


def test_two_choices_prefer_the_less_loaded_instance() -> None:
    """Guards against a choice that ignores the load hints."""
    setup = _Setup(6)
    setup.load.hint("i0", 7, 8, 100.0)
    candidates = setup.candidates()
    for _ in range(50):
        member = setup.chooser.choose(candidates, (), 100.0)
        assert member is not None
        assert member.instance.instance_id == "i3"


def test_the_index_is_rebuilt_only_on_changes() -> None:
    """Guards against rebuilding per request, and against stale entries."""
    setup = _Setup(9)
    for _ in range(5):
        setup.candidates()
    assert setup.index.rebuilds == 1
    setup.table.change_count += 1
    setup.candidates()
    setup.snapshot = _snapshot(frozenset({"z0"}))
    assert len(setup.candidates().instance_ids) == 6
    assert setup.index.rebuilds == 3


@pytest.mark.parametrize("count", [9, 90, 900])
def test_a_choice_looks_at_a_bounded_number_of_instances(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cost that grows with the instances."""
    setup = _Setup(count)
    for zone in ("z0", "z1", "z2"):
        setup.fill_zone(zone)
    candidates = setup.candidates()
    looks = 0
    plain_load = setup.load.load

    def counting_load(instance_id: str, now_s: float) -> float:
        nonlocal looks
        looks += 1
        return plain_load(instance_id, now_s)

    monkeypatch.setattr(setup.load, "load", counting_load)
    setup.chooser.choose(candidates, (), 100.0)
    assert looks <= 18


def test_ejection_spares_two_thirds_and_doubles() -> None:
    """Guards against ejecting a whole service, and against flapping."""
    ejection = OutlierEjection()
    now_s = 0.0
    for name in ("a", "b", "c", "d"):
        for _ in range(CONSECUTIVE_FAILURES):
            ejection.failed("s", name, 4, now_s)
    assert [ejection.is_ejected(n, now_s) for n in "abcd"] == [
        True,
        False,
        False,
        False,
    ]
    now_s += FIRST_EJECTION_S
    assert not ejection.is_ejected("a", now_s)
    for _ in range(CONSECUTIVE_FAILURES):
        ejection.failed("s", "a", 4, now_s)
    assert ejection.is_ejected("a", now_s + 2 * FIRST_EJECTION_S - 0.1)
    assert not ejection.is_ejected("a", now_s + 2 * FIRST_EJECTION_S)


def test_a_success_between_failures_prevents_ejection() -> None:
    """Guards against ejecting instances for scattered failures."""
    ejection = OutlierEjection()
    for _ in range(CONSECUTIVE_FAILURES):
        ejection.failed("s", "a", 9, 0.0)
        ejection.succeeded("a", 0.0)
    assert not ejection.is_ejected("a", 0.0)


def test_the_budget_refills_with_requests_and_time() -> None:
    """Guards against more than 10% and 3 per second of extra attempts."""
    budget = RetryBudget(0.0)
    assert [budget.take(0.0) for _ in range(4)] == [True] * 3 + [False]
    assert [budget.take(1.0) for _ in range(4)] == [True] * 3 + [False]
    for _ in range(11):
        budget.add_request()
    assert [budget.take(1.0) for _ in range(2)] == [True, False]


def test_measure_choice_cost() -> None:
    """Prints the cost of a choice; guards against a cost beside the target.

    A tenth of the 1.1 ms that a call may add is far above the cost of a
    choice that does not depend on the number of instances.
    """
    for count in (9, 90, 900):
        setup = _Setup(count)
        candidates = setup.candidates()
        samples = []
        for _ in range(2000):
            start_s = time.perf_counter()
            setup.chooser.choose(candidates, (), 100.0)
            samples.append(time.perf_counter() - start_s)
        samples.sort()
        median_us, p99_us = samples[1000] * 1e6, samples[1980] * 1e6
        print(f"{count} instances: {median_us:.1f} us, p99 {p99_us:.1f} us")
        assert median_us < 110
