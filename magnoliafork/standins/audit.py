"""Checks the recorded history of a fleet against its guarantees."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from magnoliafork.model.version import Version
from magnoliafork.standins.fleet import Applied
from magnoliafork.standins.load_generator import CallRecord
from magnoliafork.standins.upstream_model import Run
from magnoliafork.standins.upstream_server import body_digest

# Guaranteed limit: work may still start in an availability zone this long
# after it was taken out.
ZONE_OUT_BOUND_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOutage:
    """Time in which an availability zone was out of service.

    Attributes:
        accepted_s: Publication of the rule, on the loop's clock.
        returned_s: Publication of the zone's return.
    """

    accepted_s: float
    returned_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAudit:
    """Violations found in the runs and the outcomes.

    Attributes:
        runs_doubled: Requests that may not be repeated and ran twice.
        not_run_but_ran: Requests reported as not run that did run.
        answers_mixed_up: Answers that were cut or of another request.
        answered_without_run: Answers without a completed run.
    """

    runs_doubled: int
    not_run_but_ran: int
    answers_mixed_up: int
    answered_without_run: int


def audit_requests(
    records: Sequence[CallRecord], runs: Iterable[Run]
) -> RequestAudit:
    """Compares callers' outcomes with the upstreams' runs.

    Only POST requests are matched to runs, by their unique bodies: these are
    the ones that may not be repeated.
    """
    runs_of = collections.Counter(run.body_digest for run in runs)
    by_token = collections.defaultdict(list)
    for record in records:
        if record.pattern.method == "POST":
            by_token[record.token].append(record.outcome)
    doubled = not_run_but_ran = without_run = 0
    for token, outcomes in by_token.items():
        run_count = runs_of[body_digest(token.encode())]
        doubled += run_count > 1
        is_not_run = set(outcomes) == {"not-run"}
        not_run_but_ran += is_not_run and run_count > 0
        without_run += "answered" in outcomes and run_count == 0
    mixed_up = sum(not record.is_own_answer for record in records)
    return RequestAudit(doubled, not_run_but_ran, mixed_up, without_run)


def count_reverted(applied: Sequence[Applied]) -> int:
    """Counts versions applied on a node after a higher one."""
    highest: dict[str, Version] = {}
    reverted = 0
    for event in applied:
        known = highest.get(event.instance_id)
        if known is not None and event.version < known:
            reverted += 1
        else:
            highest[event.instance_id] = event.version
    return reverted


def convergence_times_s(
    applied: Sequence[Applied],
    published_s: dict[Version, float],
    instance_ids: Iterable[str],
) -> list[float]:
    """Returns the time from publication to use for each node and version.

    For a node that skipped a version, the next higher one counts. A node that
    never applied it is left out; callers check that all have converged.
    """
    events = collections.defaultdict(list)
    for event in applied:
        events[event.instance_id].append(event)
    times_s = []
    for version, start_s in published_s.items():
        for instance_id in instance_ids:
            reached_s = [
                event.at_s
                for event in events[instance_id]
                if event.version >= version
            ]
            if reached_s:
                times_s.append(max(0.0, min(reached_s) - start_s))
    return sorted(times_s)


def count_new_work(runs: Iterable[Run], outage: ZoneOutage) -> int:
    """Counts runs that began in an availability zone that was out."""
    first_s = outage.accepted_s + ZONE_OUT_BOUND_S
    return sum(first_s < run.started_s < outage.returned_s for run in runs)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Returns a quantile of sorted values, 0 when there are none.

    >>> quantile([1.0, 2.0, 3.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(fraction * len(values)))]
