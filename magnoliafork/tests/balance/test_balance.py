"""Tests of the choice of an instance, ejection and the retry budget."""

import dataclasses
import random
from collections import Counter

import pytest

from magnoliafork.balance.candidates import CandidateIndex, Candidates
from magnoliafork.balance.chooser import Chooser
from magnoliafork.balance.ejection import (
    CONSECUTIVE_FAILURES,
    FIRST_EJECTION_S,
    OutlierEjection,
)
from magnoliafork.balance.load import HINT_LIFETIME_S, LoadTable
from magnoliafork.balance.retry import RetryBudget
from magnoliafork.model.instance import MemberState
from magnoliafork.tests.proxy.test_sender_fleet import Fleet, snapshot

NOW_S = 100.0


class Setup:
    def __init__(self, count: int) -> None:
        self.fleet = Fleet(count)
        self.load = LoadTable()
        self.ejection = OutlierEjection()
        self.index = CandidateIndex(self.fleet, "z0", "r0")
        self.chooser = Chooser(self.load, self.ejection, random.Random(1))
        self.snapshot = snapshot()

    def candidates(self) -> Candidates:
        return self.index.of_service("orders", self.snapshot)

    def chosen(self, picks: int = 300) -> Counter[tuple[str, str]]:
        """Counts the chosen instances by id and zone."""
        candidates = self.candidates()
        members = [
            self.chooser.choose(candidates, (), NOW_S) for _ in range(picks)
        ]
        instances = [member.instance for member in members if member]
        return Counter(
            (instance.instance_id, instance.zone) for instance in instances
        )

    def zones(self) -> set[str]:
        return {zone for _, zone in self.chosen()}

    def fill_zone(self, zone: str) -> None:
        for member in self.fleet.members:
            if member.instance.zone == zone:
                self.load.record_hint(member.instance.instance_id, 8, 8, NOW_S)

    def set_state(self, index: int, state: MemberState) -> None:
        member = self.fleet.members[index]
        self.fleet.members[index] = dataclasses.replace(member, state=state)


def test_own_zone_first_then_own_region_then_other_regions() -> None:
    """Guards against needless calls to other zones, and against overload.

    A farther zone is chosen only when the nearer ones are full, and then at
    once.
    """
    setup = Setup(30)
    for zone in ("z0", "z1", "z2"):
        assert setup.zones() == {zone}
        setup.fill_zone(zone)
    assert setup.chosen().total() == 300


def test_two_choices_prefer_the_less_loaded_instance() -> None:
    """Guards against ignoring load hints, and against using expired ones."""
    setup = Setup(6)
    setup.load.record_hint("orders-0", 7, 8, NOW_S)
    assert setup.chosen() == {("orders-3", "z0"): 300}
    assert setup.load.load("orders-0", NOW_S + HINT_LIFETIME_S) == 0.0


def test_a_leaving_drained_or_out_instance_is_never_chosen() -> None:
    """Guards against new work for instances that must not get any."""
    setup = Setup(4)
    setup.set_state(0, MemberState.LEAVING)
    rules = dataclasses.replace(
        setup.snapshot.rules,
        zones_out=frozenset({"z1"}),
        drained=frozenset({"orders-3"}),
    )
    setup.snapshot = dataclasses.replace(setup.snapshot, rules=rules)
    assert setup.candidates().instance_ids == ("orders-2",)


def test_suspect_and_ejected_instances_are_chosen_last() -> None:
    """Guards against work for failing instances while others have room."""
    setup = Setup(6)
    setup.set_state(0, MemberState.SUSPECT)
    for _ in range(CONSECUTIVE_FAILURES):
        setup.ejection.record_failure("orders", "orders-3", 6, NOW_S)
    assert setup.zones() == {"z1"}


def test_the_index_is_rebuilt_only_on_changes() -> None:
    """Guards against a rebuild at each request, and against stale entries."""
    setup = Setup(9)
    for _ in range(5):
        setup.candidates()
    assert setup.index.rebuilds == 1
    setup.fleet.change_count += 1
    setup.candidates()
    setup.snapshot = snapshot(zones_out=("z0",))
    assert len(setup.candidates().instance_ids) == 6
    assert setup.index.rebuilds == 3


@pytest.mark.parametrize("count", [9, 90, 900])
def test_a_choice_looks_at_a_bounded_number_of_instances(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cost that grows with the number of instances."""
    setup = Setup(count)
    for zone in ("z0", "z1", "z2"):
        setup.fill_zone(zone)
    candidates = setup.candidates()
    load_reads = Counter[str]()
    original_load = setup.load.load

    def counting_load(instance_id: str, now_s: float) -> float:
        load_reads[instance_id] += 1
        return original_load(instance_id, now_s)

    monkeypatch.setattr(setup.load, "load", counting_load)
    setup.chooser.choose(candidates, (), NOW_S)
    assert load_reads.total() <= 18


def test_ejection_is_capped_at_a_third_and_its_time_doubles() -> None:
    """Guards against ejecting most of a service, and against flapping."""
    ejection = OutlierEjection()

    def fail(name: str, now_s: float) -> None:
        for _ in range(CONSECUTIVE_FAILURES):
            ejection.record_failure("s", name, 4, now_s)

    for name in "abcd":
        fail(name, 0.0)
    assert [n for n in "abcd" if ejection.is_ejected(n, 0.0)] == ["a"]
    back_s = FIRST_EJECTION_S
    assert not ejection.is_ejected("a", back_s)
    fail("a", back_s)
    assert ejection.is_ejected("a", back_s + 2 * FIRST_EJECTION_S - 0.1)
    assert not ejection.is_ejected("a", back_s + 2 * FIRST_EJECTION_S)


def test_a_success_between_failures_prevents_ejection() -> None:
    """Guards against ejecting instances whose failures are not in a row."""
    ejection = OutlierEjection()
    for _ in range(CONSECUTIVE_FAILURES):
        ejection.record_failure("s", "a", 9, 0.0)
        ejection.record_success("a", 0.0)
    assert not ejection.is_ejected("a", 0.0)


def test_the_budget_refills_with_requests_and_time() -> None:
    """Guards against more extra attempts than 10% and 3 per second."""
    budget = RetryBudget(0.0)
    assert [budget.take(0.0) for _ in range(4)] == [True] * 3 + [False]
    assert [budget.take(1.0) for _ in range(4)] == [True] * 3 + [False]
    for _ in range(11):
        budget.add_request()
    assert [budget.take(1.0) for _ in range(2)] == [True, False]
