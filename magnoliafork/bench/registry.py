"""The measurements of the bench, in the order in which they run."""

import importlib
import importlib.util

from magnoliafork.bench.figure import Measurement

PACKAGE = "magnoliafork.bench"
MODULES = (
    "added_latency",
    "choice_cost",
    "zone_move",
    "retry_amplification",
    "trace_cost",
    "control",
)
CAPACITY_MODULES = ("capacity",)


def measurements(is_capacity: bool) -> list[Measurement]:
    """Returns the measurements of the bench or of the capacity run.

    A module that does not exist is passed over: the control side is developed
    separately.

    >>> len(measurements(is_capacity=False)) > 0
    True
    """
    modules = CAPACITY_MODULES if is_capacity else MODULES
    found: list[Measurement] = []
    for name in modules:
        found += _of_module(f"{PACKAGE}.{name}")
    return found


def _of_module(name: str) -> tuple[Measurement, ...]:
    if importlib.util.find_spec(name) is None:
        return ()
    module = importlib.import_module(name)
    declared: tuple[Measurement, ...] = module.MEASUREMENTS
    return declared
