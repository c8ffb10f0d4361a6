"""A short seeded soak; longer ones are run by hand."""

import asyncio

import pytest

from magnoliafork.tests.soak.crashes import CrashSoak
from magnoliafork.tests.soak.planned import PlannedSoak
from magnoliafork.tests.soak.run import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_under_faults(seed: int) -> None:
    """Guards against requests run twice, wrong answers and false refusals."""
    findings = asyncio.run(run_seed(seed, seconds=4.0))
    assert findings.violations == []
    assert findings.statuses[200] > 0


def test_planned_work_loses_no_request() -> None:
    """Guards against requests cut by restarts while callers keep sending."""
    findings = asyncio.run(run_seed(1, 8.0, PlannedSoak))
    assert findings.violations == []
    assert findings.statuses[200] > 0


def test_request_that_crashes_servers_is_stopped_beside_other_faults() -> None:
    """One request ended server after server while nodes were restarted."""
    findings = asyncio.run(run_seed(2, 6.0, CrashSoak))
    assert findings.violations == []
    assert findings.statuses[200] > 0
