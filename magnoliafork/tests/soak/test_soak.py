"""A short seeded soak; longer ones are run by hand."""

import asyncio

import pytest

from magnoliafork.tests.soak.run import play


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed: int) -> None:
    """Guards against doubled, mixed up and falsely refused requests."""
    findings = asyncio.run(play(seed, seconds=4.0))
    assert findings.broken == []
    assert findings.statuses[200] > 0
