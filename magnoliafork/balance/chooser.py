"""Choice of an instance: own zone first, two random choices, then spill."""

import random
from collections.abc import Container

from magnoliafork.balance.candidates import Candidates
from magnoliafork.balance.ejection import OutlierEjection
from magnoliafork.balance.load import LoadTable
from magnoliafork.model.instance import Member, MemberState

# Instances looked at in one tier before the next tier is tried. More than two
# are needed only when some of the first ones cannot take work.
MAX_LOOKS = 6
_CHOICES = 2
_AT_LIMIT = 1.0

_Rank = tuple[int, float]


class Chooser:
    """Picks an instance at a cost that does not depend on their number."""

    def __init__(
        self,
        load: LoadTable,
        ejection: OutlierEjection,
        rng: random.Random,
    ) -> None:
        """Creates a chooser over tables that the sender maintains."""
        self._load = load
        self._ejection = ejection
        self._random = rng.random

    def choose(
        self, candidates: Candidates, excluded: Container[str], now_s: float
    ) -> Member | None:
        """Picks an instance for one attempt.

        Args:
            candidates: Instances that may receive new work.
            excluded: Ids that this request has already tried.
            now_s: Current time.

        Returns:
            The less loaded of two fit instances of the nearest tier that has
            one; if no tier has, the least unfit instance that was seen, since
            hints may be wrong and the receiver decides. None if there is none.
        """
        fallback: Member | None = None
        fallback_rank: _Rank = (0, 0.0)
        for tier in candidates.tiers:
            best: Member | None = None
            best_load = 0.0
            fit_count = 0
            for member in self._sample(tier):
                instance_id = member.instance.instance_id
                if instance_id in excluded:
                    continue
                load = self._load.load(instance_id, now_s)
                faults = self._faults(member, load, now_s)
                if faults:
                    rank = (faults, load)
                    if fallback is None or rank < fallback_rank:
                        fallback, fallback_rank = member, rank
                    continue
                if best is None or load < best_load:
                    best, best_load = member, load
                fit_count += 1
                if fit_count == _CHOICES:
                    break
            if best is not None:
                return best
        return fallback

    def _faults(self, member: Member, load: float, now_s: float) -> int:
        """Returns 0 for a fit instance, else a number that grows with doubt."""
        instance_id = member.instance.instance_id
        faults = 0
        if load >= _AT_LIMIT:
            faults += 1
        if self._load.has_refused(instance_id, now_s):
            faults += 2
        if self._ejection.is_ejected(instance_id, now_s):
            faults += 4
        if member.state is MemberState.SUSPECT:
            faults += 8
        return faults

    def _sample(self, tier: tuple[Member, ...]) -> list[Member]:
        """Returns up to `MAX_LOOKS` distinct members in random order."""
        size = len(tier)
        if size == 1:
            return [tier[0]]
        first = int(self._random() * size)
        second = (first + 1 + int(self._random() * (size - 1))) % size
        picked = [tier[first], tier[second]]
        index = first
        for _ in range(min(size, MAX_LOOKS) - _CHOICES):
            index = (index + 1) % size
            if index == second:
                index = (index + 1) % size
            picked.append(tier[index])
        return picked
