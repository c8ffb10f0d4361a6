"""Counters of the receiver."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class ReceiverCounters:
    """Counts of a receiver since the start of the node.

    Attributes:
        answered: Calls with an answer.
        unknown: Calls whose outcome is unknown.
        refused: Calls refused as not run, by reason.
        joined: Repeats that waited for a request in progress.
        replayed: Repeats that got a recorded outcome.
        fences: Fences received.
        cancelled_before_run: Requests cancelled before they ran.
        cancelled_while_running: Calls cancelled during a run, which continues.
        home_checks: Claims at other possible homes.
        home_checks_incomplete: Claims after which the request was refused or
            unknown.
        yielded: Claims given up to a higher-ranked instance.
        ledger_full: Requests and fences for which the ledger had no space.
        ramp_restarts: Returns of the limit to the start of the cold-start ramp.
        upstream_not_run: Upstream calls that were certainly not run.
        upstream_unknown: Upstream calls whose outcome is unknown.
        upstream_timeouts: Upstream calls cancelled at their time limit.
        cut_by_stop: Calls cancelled by a planned stop.
    """

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
