"""Lists the measurements of the bench in the order in which they run."""

from magnoliafork.bench import (
    added_latency,
    capacity,
    choice_cost,
    control,
    process_faults,
    retry_amplification,
    state,
    trace_cost,
    zone_move,
)
from magnoliafork.bench.figure import Measurement

BENCH_MEASUREMENTS = (
    *added_latency.MEASUREMENTS,
    *choice_cost.MEASUREMENTS,
    *zone_move.MEASUREMENTS,
    *retry_amplification.MEASUREMENTS,
    *trace_cost.MEASUREMENTS,
    *state.MEASUREMENTS,
    *control.MEASUREMENTS,
)
# Too slow for the quick run.
FULL_RUN_MEASUREMENTS = process_faults.MEASUREMENTS


def measurements(is_capacity: bool, is_quick: bool) -> list[Measurement]:
    """Returns the measurements of the bench or of the capacity run.

    >>> len(measurements(is_capacity=False, is_quick=True)) > 5
    True
    """
    if is_capacity:
        return list(capacity.MEASUREMENTS)
    if is_quick:
        return list(BENCH_MEASUREMENTS)
    return [*BENCH_MEASUREMENTS, *FULL_RUN_MEASUREMENTS]
