"""Decides whether an instance may take new work, whatever its load."""

from magnoliafork.model.instance import Instance
from magnoliafork.model.request import NotRunReason
from magnoliafork.model.snapshot import Snapshot


def refusal_reason(
    snapshot: Snapshot | None,
    instance: Instance,
    is_leaving: bool,
    is_view_stale: bool,
) -> NotRunReason | None:
    """Returns why the instance takes no new work, or None if it does."""
    if snapshot is None or instance.service not in snapshot.rules.services:
        return NotRunReason.NOT_READY
    if is_leaving:
        return NotRunReason.LEAVING
    if instance.zone in snapshot.rules.zones_out:
        return NotRunReason.ZONE_OUT
    if instance.instance_id in snapshot.rules.drained:
        return NotRunReason.DRAINED
    if is_view_stale:
        return NotRunReason.STALE_VIEW
    return None
