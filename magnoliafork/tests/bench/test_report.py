"""Registry, figures and reports of the bench."""

import asyncio
import io
import pathlib

import pytest

from magnoliafork.bench import added_latency, capacity, registry
from magnoliafork.bench.direct_callers import rule_set
from magnoliafork.bench.figure import Figure
from magnoliafork.bench.report import to_markdown
from magnoliafork.commands import bench as command


async def _failing(is_quick: bool) -> list[Figure]:
    raise RuntimeError("a process ended")


async def _passing(is_quick: bool) -> list[Figure]:
    return [Figure("size", "quick" if is_quick else "full", 0, 1.0, "B")]


def test_a_failed_measurement_does_not_hide_the_others() -> None:
    """Guards against a run that loses figures, or hides a failure."""
    output = io.StringIO()
    figures, failed = asyncio.run(
        command.run([_failing, _passing], True, output)
    )
    assert [figure.variant for figure in figures] == ["quick"]
    assert failed == 1
    assert "a process ended" in output.getvalue()


def test_the_command_writes_both_reports_and_reports_a_failure(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reports that are missing after a partly failed run."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr(
        registry,
        "measurements",
        lambda is_capacity, is_quick: [_passing, _failing],
    )
    assert command.bench(False, False, io.StringIO()) == 1
    assert "| size | full |" in (tmp_path / "build/bench.md").read_text()
    assert "<svg" in (tmp_path / "build/bench.svg").read_text()


def test_full_run_includes_every_measurement_module() -> None:
    """Guards against a measurement that a bench run leaves out."""
    found = registry.measurements(is_capacity=False, is_quick=False)
    names = {item.__module__.rpartition(".")[2] for item in found}
    assert names >= {
        "added_latency",
        "choice_cost",
        "zone_move",
        "retry_amplification",
        "trace_cost",
        "state",
        "control",
        "process_faults",
    }


def test_capacity_page_keeps_its_text_around_the_table() -> None:
    """Guards against a run that overwrites the text of the page."""
    page = f"before\n{capacity.TABLE_BEGIN}\nold\n{capacity.TABLE_END}\nafter\n"
    figures = [
        Figure("tick_cost", "control", size, 10.0 + size / 100, "us")
        for size in (100, 200, 400, 800)
    ]
    page = capacity.replace_table(page, capacity.table(figures))
    assert page.startswith("before\n")
    assert page.endswith("after\n")
    assert "old" not in page
    assert "| 0.01 | 0.0% | 33 |" in page


def test_a_zero_baseline_has_no_ratio() -> None:
    """Guards against a division by zero at the end of a long run."""
    text = to_markdown([Figure("shed", "ours", 0, 3.0, "calls", 0.0)], "Run")
    assert "| 3 | 0 | calls |  |" in text


def test_nodes_may_keep_connections_to_the_upstream() -> None:
    """Guards against measuring a new connection per call as added latency."""
    rules = rule_set(added_latency.RULES).services
    assert all(rule.connections >= 2 * rule.slots for rule in rules.values())


def test_added_latency_is_the_difference_of_quantiles() -> None:
    """Guards against a quantile over unsorted times or swapped paths."""
    direct = added_latency.Latencies([0.003, 0.001, 0.002])
    through = added_latency.Latencies([0.005, 0.004, 0.002], failed=2)
    figures = added_latency.figures_of_rate(50, direct, through)
    by_name = {figure.name: figure for figure in figures}
    assert by_name["latency_p50"].value == 4.0
    assert by_name["latency_p50"].baseline == 2.0
    assert by_name["added_latency_p99"].value == 2.0
    assert by_name["added_latency_p99"].baseline == 1.1
    assert by_name["added_latency_failed"].value == 2.0
