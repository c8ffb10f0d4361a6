"""Tells whether this instance takes new work, and since when."""

from collections.abc import Callable

from magnoliafork.admission import eligibility
from magnoliafork.model.instance import Instance, MemberState
from magnoliafork.model.request import NotRunReason
from magnoliafork.model.rules import ServiceRule
from magnoliafork.model.view import MembershipView, SnapshotView
from magnoliafork.proxy.home_claims import POSSIBLE_HOME_S


class InstanceEligibility:
    """Eligibility by the snapshot in force and the membership view."""

    def __init__(
        self,
        instance: Instance,
        incarnation: Callable[[], int],
        snapshots: SnapshotView,
        members: MembershipView,
        now: Callable[[], float],
        is_view_stale: Callable[[], bool],
        may_have_earlier_process: Callable[[], bool],
    ) -> None:
        """Creates the eligibility of a process that starts now."""
        self._instance = instance
        self._incarnation = incarnation
        self._snapshots = snapshots
        self._members = members
        self._now = now
        self._is_view_stale = is_view_stale
        self._may_have_earlier_process = may_have_earlier_process
        self._started_s = now()
        self._last_ineligible_s = now()
        self._incarnations = {incarnation()}
        self.is_leaving = False

    def record_incarnation(self) -> None:
        """Records the current incarnation.

        A node raises its incarnation to refute a suspicion against it.
        """
        self._incarnations.add(self._incarnation())

    def is_own_incarnation(self, incarnation: int) -> bool:
        """Returns whether an incarnation belongs to this process."""
        self.record_incarnation()
        return incarnation in self._incarnations

    def rule(self) -> ServiceRule | None:
        """Returns the rule in force for the service of this instance."""
        snapshot = self._snapshots.current
        if snapshot is None:
            return None
        return snapshot.rules.services.get(self._instance.service)

    def refusal(self) -> NotRunReason | None:
        """Returns why the instance takes no new work, or None."""
        reason = eligibility.refusal_reason(
            self._snapshots.current,
            self._instance,
            self.is_leaving,
            self._is_view_stale(),
        )
        if reason is not None:
            self._last_ineligible_s = self._now()
        return reason

    def refusal_or_deadline(self, deadline_s: float) -> NotRunReason | None:
        """Returns why a request must not run now, or None.

        Also called right before the upstream call, since the state may have
        changed while the request waited.
        """
        reason = self.refusal()
        if reason is None and self._now() >= deadline_s:
            return NotRunReason.DEADLINE
        return reason

    def eligible_for_s(self) -> float:
        """Returns how long senders may have sent this instance new work."""
        now_s = self._now()
        eligible_for_s = now_s - self._last_ineligible_s
        own_id = self._instance.instance_id
        if self._members.get(own_id) is None:
            return eligible_for_s
        # Until this instance has refuted a suspicion with a higher
        # incarnation, senders may have used the next home.
        return min(eligible_for_s, self._members.state_age_s(own_id, now_s))

    def may_have_run_before(self) -> bool:
        """Returns whether an earlier process may have run a request.

        Only the time in which its outcome would still count matters.
        """
        is_young = self._now() - self._started_s < POSSIBLE_HOME_S
        return is_young and self._may_have_earlier_process()

    def takes_new_work(self, other_id: str) -> bool:
        """Returns whether another instance is eligible for new work."""
        member = self._members.get(other_id)
        if member is None:
            return False
        is_leaving = member.state in (MemberState.LEAVING, MemberState.DEAD)
        reason = eligibility.refusal_reason(
            self._snapshots.current, member.instance, is_leaving, False
        )
        return reason is None
