"""Report of a run as a Markdown table."""

from collections.abc import Sequence

from magnoliafork.bench.figure import Figure

_HEADER = ("figure", "variant", "nodes", "value", "baseline", "unit", "ratio")


def to_markdown(figures: Sequence[Figure], title: str) -> str:
    """Returns the figures as a table, in the order of the run.

    >>> print(to_markdown([Figure("a", "b", 2, 3.0, "ms", 1.5)], "Run"))
    # Run
    <BLANKLINE>
    | figure | variant | nodes | value | baseline | unit | ratio |
    |---|---|---|---|---|---|---|
    | a | b | 2 | 3 | 1.5 | ms | 2 |
    <BLANKLINE>
    """
    rows = [_HEADER, *(_row(figure) for figure in figures)]
    lines = [_line(row) for row in rows]
    lines.insert(1, "|---" * len(_HEADER) + "|")
    return "\n".join([f"# {title}", "", *lines, ""])


def _row(figure: Figure) -> tuple[str, ...]:
    ratio = figure.value / figure.baseline if figure.baseline else None
    return (
        figure.name,
        figure.variant,
        str(figure.nodes) if figure.nodes else "",
        _number(figure.value),
        _number(figure.baseline),
        figure.unit,
        _number(ratio),
    )


def _number(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _line(cells: Sequence[str]) -> str:
    escaped = [cell.replace("|", "\\|") for cell in cells]
    return f"| {' | '.join(escaped)} |"
