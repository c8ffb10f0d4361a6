"""Random histories with faults; injected faults show that the checks work."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from magnoliafork.balance import retry
from magnoliafork.balance.candidates import CandidateIndex, Candidates
from magnoliafork.model.request import NotRun, NotRunReason, Outcome
from magnoliafork.proxy import attempt, sender
from magnoliafork.tests import virtual_time
from magnoliafork.tests.proxy.test_sender_fleet import (
    Fleet,
    make_ingress_request,
    route,
    snapshot,
    violations,
)

REQUESTS = 400
FAULT_RATE = 0.3
FAULTS = (
    "unsent",
    "silent",
    "late_copy",
    "reply_lost",
    "dies_before",
    "dies_after",
    "overloaded",
    "unknown",
)
RUNS_MORE_THAN_ONCE = "ran more than once"
NOT_RUN_BUT_RAN = "not run, but it ran"
WRONG_CALL = "call to an instance that takes none"
ANSWER_OF_ANOTHER_REQUEST = "answer of another request"


async def _history(
    seed: int, answer_to: Callable[[str], bytes] = str.encode
) -> set[str]:
    fleet = Fleet()
    fleet.answer_to = answer_to
    routes = (route("/r/*", repeatable=True, hedge_ms=30), route("/n/*"))
    fleet.current = snapshot(*routes)
    rng = random.Random(seed)

    def fault() -> str:
        return rng.choice(FAULTS) if rng.random() < FAULT_RATE else ""

    fleet.random_fault = fault
    senders = [fleet.sender(seed + i, f"z{i}") for i in range(3)]
    outcomes: dict[str, Outcome] = {}

    async def one(number: int) -> None:
        path = f"/{rng.choice('rn')}/{number}"
        key = f"key-{number}" if rng.random() < 0.2 else ""
        await asyncio.sleep(rng.random() * 60)
        outcomes[path] = await rng.choice(senders).handle(
            make_ingress_request(path, key, first=rng.random() < 0.5)
        )

    async def change_membership() -> None:
        while True:
            await asyncio.sleep(rng.random() * 2)
            zones_out = tuple(rng.sample(("z0", "z1", "z2"), rng.randrange(2)))
            leaving = rng.sample(sorted(fleet.nodes), rng.randrange(2))
            fleet.change(snapshot(*routes, zones_out=zones_out), {*leaving})

    changes = asyncio.create_task(change_membership())
    await asyncio.gather(*[one(number) for number in range(REQUESTS)])
    await fleet.settle()
    changes.cancel()
    assert len(outcomes) == REQUESTS
    assert sum(s.counters.in_flight for s in senders) == 0
    return violations(fleet, outcomes, "/r/")


@pytest.mark.parametrize("seed", range(20))
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    """Guards against wrong outcomes, second runs, wrong receivers (I5 to I9).

    Links fail, replies get lost, receivers restart, and zones and instances
    leave while requests are sent.
    """
    assert virtual_time.run(_history(seed)) == set()


async def _assume_not_run_without_fence(
    self: Any, state: Any, *_: Any
) -> Outcome:
    return NotRun(NotRunReason.UNREACHABLE)


def _assume_not_run_after_fence(self: Any, state: Any, reply: Any) -> Outcome:
    return NotRun(NotRunReason.UNREACHABLE)


def _all_members(self: Any, service: str, snapshot: object) -> Candidates:
    members = tuple(self._membership.members_of(service))
    ids = tuple(member.instance.instance_id for member in members)
    return Candidates((members,), ids)


INJECTED_FAULTS = [
    (
        attempt.Attempts,
        "_resolve",
        _assume_not_run_without_fence,
        NOT_RUN_BUT_RAN,
    ),
    (
        attempt.Attempts,
        "_fence_to_result",
        _assume_not_run_after_fence,
        NOT_RUN_BUT_RAN,
    ),
    (sender, "_final_outcome", lambda pending, last: last, NOT_RUN_BUT_RAN),
    (sender, "may_retry", lambda state: True, RUNS_MORE_THAN_ONCE),
    (CandidateIndex, "of_service", _all_members, WRONG_CALL),
]


@pytest.mark.parametrize(
    ("owner", "name", "replacement", "rule"), INJECTED_FAULTS
)
def test_checker_finds_injected_faults(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
    replacement: Callable[..., object],
    rule: str,
) -> None:
    """Guards against a checker that passes every history."""
    monkeypatch.setattr(owner, name, replacement)
    assert rule in virtual_time.run(_history(0))


def test_checker_finds_swapped_answers() -> None:
    """Guards against a checker that does not compare answers."""
    assert ANSWER_OF_ANOTHER_REQUEST in virtual_time.run(
        _history(0, lambda path: b"/other")
    )


async def _budget_use(failing: int, service_s: float) -> float:
    """Returns the ratio of the attempts to those that the budget allows."""
    count = 3000
    fleet = Fleet(6, service_s)
    fleet.current = snapshot(route(repeatable=True, hedge_ms=30))
    for node in list(fleet.nodes.values())[:failing]:
        node.faults = ["unknown", "overloaded"] * count
    node_sender = fleet.sender()

    async def one(number: int) -> None:
        await asyncio.sleep(number * 0.001)
        await node_sender.handle(make_ingress_request(f"/{number}"))

    start_s = asyncio.get_running_loop().time()
    await asyncio.gather(*[one(number) for number in range(count)])
    elapsed_s = asyncio.get_running_loop().time() - start_s
    allowed = 1.1 * count + retry.BUDGET_PER_S * elapsed_s + retry.BUDGET_CAP
    return len(fleet.calls) / allowed


RETRY_STORMS = [(3, 0.01), (3, 0.05), (6, 0.01)]


@pytest.mark.parametrize(("failing", "service_s"), RETRY_STORMS)
def test_attempts_stay_within_the_budget(
    failing: int, service_s: float
) -> None:
    """Guards against retry storms while half or all instances fail."""
    assert virtual_time.run(_budget_use(failing, service_s)) <= 1.0


@pytest.mark.parametrize(("failing", "service_s"), RETRY_STORMS[1:])
def test_the_budget_check_catches_a_missing_budget(
    monkeypatch: pytest.MonkeyPatch, failing: int, service_s: float
) -> None:
    """Guards against a budget test that passes without a budget.

    The first storm is left out, because the pause after a refusal and the
    ejection limit it even without a budget.
    """
    monkeypatch.setattr(retry.RetryBudget, "take", lambda self, now_s: True)
    assert virtual_time.run(_budget_use(failing, service_s)) > 1.0
