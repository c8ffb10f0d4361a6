"""Builds the status and the history that a node reports to operators."""

import collections
from collections.abc import Sequence
from typing import TYPE_CHECKING

from magnoliafork.model.instance import MemberState
from magnoliafork.observe.status import (
    HistoryEntry,
    Neighbour,
    NodeStatus,
    RejectedVersion,
)
from magnoliafork.snapshot.store import SnapshotStore

if TYPE_CHECKING:
    from magnoliafork.node import Node


def status(node: "Node") -> NodeStatus:
    """Returns the state of a node at this moment."""
    table = node.control.table
    snapshot = node.store.current
    rules = snapshot.rules if snapshot is not None else None
    states = collections.Counter(member.state.name for member in table)
    service = rules.services.get(node.instance.service) if rules else None
    limit = node.receiver.limit
    return NodeStatus(
        instance=node.instance,
        incarnation=node.incarnation,
        is_ready=node.is_ready(),
        is_leaving=table.own.state is MemberState.LEAVING,
        version=node.store.version,
        rejected=_rejected(node.store),
        members=dict(states),
        zones_out=tuple(sorted(rules.zones_out)) if rules else (),
        drained=tuple(sorted(rules.drained)) if rules else (),
        leaving=tuple(
            sorted(
                member.instance.instance_id
                for member in table
                if member.state is MemberState.LEAVING
            )
        ),
        ramp=limit / service.slots if service else 0.0,
        active=node.receiver.active,
        limit=limit,
        queued=node.receiver.queued,
        neighbours=_neighbours(node),
        counters=node.metrics.totals(),
    )


def _rejected(store: SnapshotStore) -> tuple[RejectedVersion, ...]:
    return tuple(
        RejectedVersion(version, tuple(str(error) for error in errors))
        for version, errors in store.rejected.items()
    )


def _neighbours(node: "Node") -> tuple[Neighbour, ...]:
    found = []
    for view in node.links.link_statuses():
        member = node.control.table.get(view.instance_id)
        found.append(
            Neighbour(
                view.instance_id,
                member.instance.zone if member else "",
                node.control.dissemination.peer_version(
                    view.instance_id
                ).number,
                int(view.silent_s * 1000),
            )
        )
    return tuple(found)


def history(
    store: SnapshotStore, loop_now_s: float, unix_now_s: float
) -> Sequence[HistoryEntry]:
    """Returns the store's events with wall-clock times, oldest first."""
    return tuple(
        HistoryEntry(
            at_unix_ms=int((unix_now_s - loop_now_s + entry.at_s) * 1000),
            event=entry.event.value,
            version_number=entry.version.number,
            digest=entry.version.digest,
            detail=f"in force: {entry.current.number}",
        )
        for entry in store.history()
    )
