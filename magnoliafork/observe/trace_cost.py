"""Measures what tracing costs per hop.

Run it with `python -m magnoliafork.observe.trace_cost`.
"""

import sys
import time
from typing import TextIO

from magnoliafork.observe.tracing import HopName, Tracing

HOPS_PER_ROUND = 20_000
ROUNDS = 5
RATIOS = {"off": 0.0, "1%": 0.01, "full": 1.0}


def cost_us(sampling_ratio: float) -> float:
    """Returns the time of one hop in the fastest of several rounds."""
    tracing = Tracing(sampling_ratio, {"instance": "cost-1"})
    fastest_s = min(_round_s(tracing) for _ in range(ROUNDS))
    return fastest_s / HOPS_PER_ROUND * 1e6


def _round_s(tracing: Tracing) -> float:
    start_s = time.perf_counter()
    for index in range(HOPS_PER_ROUND):
        hop = tracing.start(HopName.INGRESS, "")
        hop.set("service", "orders")
        hop.end("answered")
        if index % 1000 == 0:
            tracing.queue.take()
    return time.perf_counter() - start_s


def main(output: TextIO) -> None:
    """Prints the cost with tracing off, sampled and full."""
    for name, ratio in RATIOS.items():
        output.write(f"{name}: {cost_us(ratio):.2f} us per hop\n")


if __name__ == "__main__":
    main(sys.stdout)
