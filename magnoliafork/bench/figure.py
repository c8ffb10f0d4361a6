"""One measured figure and the form in which it is printed."""

import dataclasses
import json
from collections.abc import Awaitable, Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A measured value and that of a baseline in the same run.

    Attributes:
        name: What was measured.
        variant: Design or condition that was measured.
        nodes: Number of nodes, 0 where that does not apply.
        value: Measured value.
        unit: Unit of the value.
        baseline: Value of the baseline, or None when there is none.
    """

    name: str
    variant: str
    nodes: int
    value: float
    unit: str
    baseline: float | None = None

    def to_json(self) -> str:
        """Returns the figure as one line of JSON.

        >>> Figure("choice_cost", "9 instances", 0, 4.0, "us", 2.0).to_json()
        ... # doctest: +NORMALIZE_WHITESPACE
        '{"name": "choice_cost", "variant": "9 instances", "nodes": 0,
        "value": 4.0, "unit": "us", "baseline": 2.0, "ratio": 2.0}'
        """
        ratio = None
        if self.baseline:
            ratio = round(self.value / self.baseline, 3)
        return json.dumps({**dataclasses.asdict(self), "ratio": ratio})


# Takes `is_quick`, whether the run must be short; returns its figures.
Measurement = Callable[[bool], Awaitable[list[Figure]]]
