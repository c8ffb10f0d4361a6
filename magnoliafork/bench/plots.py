"""Plots the figures of a run: a panel for each name, values and baselines."""

import pathlib
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402 (the backend must be set first)

from magnoliafork.bench.figure import Figure  # noqa: E402

_COLUMNS = 2
_PANEL_INCHES = (6.0, 2.6)
_BAR_HEIGHT = 0.4


def write_svg(figures: Sequence[Figure], path: pathlib.Path) -> None:
    """Writes the plots of all figures into one SVG file."""
    by_name: dict[str, list[Figure]] = {}
    for figure in figures:
        by_name.setdefault(figure.name, []).append(figure)
    rows = max(1, -(-len(by_name) // _COLUMNS))
    canvas, axes = pyplot.subplots(
        rows,
        _COLUMNS,
        figsize=(_PANEL_INCHES[0] * _COLUMNS, _PANEL_INCHES[1] * rows),
        squeeze=False,
        layout="constrained",
    )
    panels = list(axes.flat)
    for panel, (name, group) in zip(panels, by_name.items(), strict=False):
        _draw_panel(panel, name, group)
    for panel in panels[len(by_name) :]:
        panel.set_visible(False)
    canvas.savefig(path, format="svg")
    pyplot.close(canvas)


def _draw_panel(panel: Any, name: str, group: Sequence[Figure]) -> None:
    positions = range(len(group))
    panel.barh(
        [position - _BAR_HEIGHT / 2 for position in positions],
        [figure.value for figure in group],
        height=_BAR_HEIGHT,
        label="measured",
    )
    panel.barh(
        [position + _BAR_HEIGHT / 2 for position in positions],
        [figure.baseline or 0.0 for figure in group],
        height=_BAR_HEIGHT,
        label="baseline",
    )
    panel.set_yticks(positions, [_label(figure) for figure in group])
    panel.invert_yaxis()
    panel.set_title(f"{name} ({group[0].unit})", fontsize=9)
    panel.tick_params(labelsize=7)
    panel.legend(fontsize=7)


def _label(figure: Figure) -> str:
    if figure.nodes:
        return f"{figure.variant}, {figure.nodes} nodes"
    return figure.variant
