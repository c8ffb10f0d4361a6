"""Time that tracing takes per hop."""

from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.observe.trace_cost import RATIOS, cost_us

TRACING_OFF = "off"


async def measure(is_quick: bool) -> list[Figure]:
    """Times a hop at each sampling ratio; the baseline has tracing off.

    The quick run leaves out the ratio 1.0, which takes seconds.
    """
    costs = {
        name: round(cost_us(ratio), 3)
        for name, ratio in RATIOS.items()
        if ratio < 1.0 or not is_quick
    }
    return [
        Figure(
            "trace_cost",
            name,
            0,
            cost,
            "us per hop",
            None if name == TRACING_OFF else costs[TRACING_OFF],
        )
        for name, cost in costs.items()
    ]


MEASUREMENTS: tuple[Measurement, ...] = (measure,)
