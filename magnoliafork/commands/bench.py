"""Measures the system and writes the figures."""

import asyncio
import pathlib
import time
from collections.abc import Sequence
from typing import TextIO

from magnoliafork.bench import registry
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.bench.report import to_markdown

EXIT_OK = 0
EXIT_MEASUREMENT_FAILED = 1

FOLDER = pathlib.Path("build")
MARKDOWN_NAME = "bench.md"
SVG_NAME = "bench.svg"


async def run(
    measurements: Sequence[Measurement], is_quick: bool, output: TextIO
) -> tuple[list[Figure], int]:
    """Runs measurements one after the other and prints their figures.

    A measurement that fails is reported and does not end the run, because the
    figures of the others are still valid.

    Returns:
        The figures and the number of measurements that failed.
    """
    figures: list[Figure] = []
    failed = 0
    for measurement in measurements:
        try:
            found = await measurement(is_quick)
        except Exception as error:
            failed += 1
            name = getattr(measurement, "__module__", "measurement")
            print(f"{name} failed: {error!r}", file=output, flush=True)
            continue
        for figure in found:
            print(figure.to_json(), file=output, flush=True)
        figures += found
    return figures, failed


def bench(is_quick: bool, is_capacity: bool, output: TextIO) -> int:
    """Runs the measurements and writes `build/bench.md` and `.svg`.

    Args:
        is_quick: Whether the run must be short; its figures are rough.
        is_capacity: Whether to measure the capacity of this machine instead.
        output: Where each figure goes as one JSON line.

    Returns:
        0, or 1 if there was nothing to measure or a measurement failed.
    """
    start_s = time.monotonic()
    measurements = registry.measurements(is_capacity, is_quick)
    figures, failed = asyncio.run(run(measurements, is_quick, output))
    took_s = time.monotonic() - start_s
    if not figures:
        print("no figure was measured", file=output)
        return EXIT_MEASUREMENT_FAILED
    _write(figures, is_quick, took_s)
    print(f"{len(figures)} figures in {took_s:.1f} s, {FOLDER}/", file=output)
    return EXIT_MEASUREMENT_FAILED if failed else EXIT_OK


def _write(figures: Sequence[Figure], is_quick: bool, took_s: float) -> None:
    # Loaded late: matplotlib takes longer to import than a quick measurement.
    from magnoliafork.bench.plots import write_svg

    FOLDER.mkdir(exist_ok=True)
    kind = "Quick run" if is_quick else "Full run"
    title = f"{kind} of {took_s:.0f} s"
    (FOLDER / MARKDOWN_NAME).write_text(to_markdown(figures, title), "utf-8")
    write_svg(figures, FOLDER / SVG_NAME)
