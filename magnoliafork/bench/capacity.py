"""Fits lines to costs by size and extrapolates them to the target size."""

import dataclasses
import pathlib
import statistics
from collections.abc import Sequence

from magnoliafork.bench import control, state
from magnoliafork.bench.figure import Figure, Measurement

CAPACITY_PAGE = pathlib.Path("docs/CAPACITY.md")
TABLE_BEGIN = "<!-- measured: begin -->"
TABLE_END = "<!-- measured: end -->"

TARGET_NODES = 2300
TARGET_SERVICES = 270


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points.

    Attributes:
        slope: Growth of the value with the size.
        intercept: Value at size 0.
        residual: Largest distance of a point from the line, as a share of
            the largest value.
    """

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits a line by least squares.

    >>> fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    Fit(slope=2.0, intercept=1.0, residual=0.0)
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = statistics.linear_regression(sizes, values)
    largest = max(abs(value) for value in values) or 1.0
    residual = max(
        abs(value - intercept - slope * size) for size, value in points
    )
    return Fit(
        round(slope, 5), round(intercept, 3), round(residual / largest, 4)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Quantity:
    """One row of the table of the capacity page.

    Attributes:
        name: Name of the figure.
        variant: Variant of the figure.
        target_size: Nodes or services at the target.
        nonlinear_reason: Why the value does not follow the line; empty if it
            does.
    """

    name: str
    variant: str
    target_size: int
    nonlinear_reason: str = ""


QUANTITIES = (
    Quantity("tick_cost", "control", TARGET_NODES),
    Quantity("control_memory", "members", TARGET_NODES),
    Quantity("control_memory", "services", TARGET_SERVICES),
    Quantity("change_cost", "assemble one changed part", TARGET_SERVICES),
    Quantity("control_cpu", "idle", TARGET_NODES),
    Quantity("control_bytes", "idle", TARGET_NODES, "12 links per node"),
    Quantity("control_bytes", "one change", TARGET_NODES, "12 links per node"),
    Quantity(
        "convergence",
        "slowest",
        TARGET_NODES,
        "one process does the work of all nodes",
    ),
    Quantity(
        "source_reads_herd_restart",
        "against polls",
        TARGET_NODES,
        "budget of 400 reads/s",
    ),
)


async def measure_capacity(is_quick: bool) -> list[Figure]:
    """Measures all quantities and rewrites the table of the capacity page."""
    figures: list[Figure] = []
    for measurement in (*state.MEASUREMENTS, *control.MEASUREMENTS):
        figures += await measurement(is_quick)
    text = CAPACITY_PAGE.read_text("utf-8")
    CAPACITY_PAGE.write_text(replace_table(text, table(figures)), "utf-8")
    return figures


def table(figures: Sequence[Figure]) -> str:
    """Returns the Markdown table of measured points, fits and target."""
    lines = [
        "| figure | unit | measured (size: value) | slope | residual"
        " | line at the target size |",
        "|---|---|---|---|---|---|",
    ]
    for quantity in QUANTITIES:
        matching = [
            figure
            for figure in figures
            if (figure.name, figure.variant)
            == (quantity.name, quantity.variant)
        ]
        if len(matching) > 1:
            lines.append(_row(quantity, matching))
    return "\n".join(lines)


def _row(quantity: Quantity, figures: Sequence[Figure]) -> str:
    points = [(float(figure.nodes), figure.value) for figure in figures]
    fitted = fit(points)
    measured = ", ".join(f"{size:g}: {value:g}" for size, value in points)
    at_target = f"{fitted.at(quantity.target_size):.4g}"
    if quantity.nonlinear_reason:
        at_target = f"not on a line: {quantity.nonlinear_reason}"
    return (
        f"| {quantity.name}, {quantity.variant} | {figures[0].unit}"
        f" | {measured} | {fitted.slope:g} | {100 * fitted.residual:.1f}%"
        f" | {at_target} |"
    )


def replace_table(text: str, new_table: str) -> str:
    """Returns the page with the text between its markers replaced.

    Raises:
        ValueError: The page lacks a marker.
    """
    begin = text.index(TABLE_BEGIN) + len(TABLE_BEGIN)
    end = text.index(TABLE_END)
    return f"{text[:begin]}\n{new_table}\n{text[end:]}"


MEASUREMENTS: tuple[Measurement, ...] = (measure_capacity,)
