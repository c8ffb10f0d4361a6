"""Counters of the receiver."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class ReceiverCounters:
    """Counts of what happened since the start of the node."""

    answered: int = 0
    unknown: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    joined: int = 0
    replayed: int = 0
    fences: int = 0
    cancelled_before_run: int = 0
    cancelled_while_running: int = 0
    home_checks: int = 0
    home_checks_incomplete: int = 0
    yielded: int = 0
    ledger_full: int = 0
    ramp_restarts: int = 0
    upstream_not_run: int = 0
    upstream_unknown: int = 0
    upstream_timeouts: int = 0
    cut_by_stop: int = 0
