"""Plain text tables for terminals."""

from collections.abc import Sequence

GAP = "  "


def printable(text: str) -> str:
    r"""Replaces control characters, which a terminal would obey.

    >>> printable("a\x1b[2J")
    'a?[2J'
    """
    return "".join(c if c.isprintable() else "?" for c in text)


def format_table(
    headers: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Aligns columns to the left.

    >>> print(format_table(["zone", "members"], [["joliette", 3]]), end="")
    zone      members
    joliette  3
    """
    lines = [list(headers)]
    lines += [[printable(str(cell)) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*lines, strict=True)
    ]
    text = ""
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        text += GAP.join(cells).rstrip() + "\n"
    return text
