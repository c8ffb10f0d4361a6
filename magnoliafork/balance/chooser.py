"""Chooses an instance: the less loaded of two random ones, nearest first."""

import random
from collections.abc import Container

from magnoliafork.balance.candidates import Candidates
from magnoliafork.balance.ejection import OutlierEjection
from magnoliafork.balance.load import LoadTable
from magnoliafork.model.instance import Member, MemberState

# Instances examined in one tier before the next tier is tried. More than two
# are needed only when some of the first ones are not available.
MAX_SAMPLED = 6
_CHOICE_COUNT = 2
_FULL_LOAD = 1.0

_Rank = tuple[int, float]


class Chooser:
    """Picks an instance at a cost independent of the number of instances."""

    def __init__(
        self,
        load: LoadTable,
        ejection: OutlierEjection,
        rng: random.Random,
    ) -> None:
        """Creates a chooser that reads tables maintained by the sender."""
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
            The less loaded of two available instances of the nearest tier
            that has one. If no tier has one, the examined instance with the
            lowest penalty, since hints may be wrong and the receiver decides.
            None if every candidate is excluded.
        """
        fallback: Member | None = None
        fallback_rank: _Rank = (0, 0.0)
        for tier in candidates.tiers:
            best: Member | None = None
            best_load = 0.0
            available_count = 0
            for member in self._sample(tier):
                instance_id = member.instance.instance_id
                if instance_id in excluded:
                    continue
                load = self._load.load(instance_id, now_s)
                penalty = self._penalty(member, load, now_s)
                if penalty:
                    rank = (penalty, load)
                    if fallback is None or rank < fallback_rank:
                        fallback, fallback_rank = member, rank
                    continue
                if best is None or load < best_load:
                    best, best_load = member, load
                available_count += 1
                if available_count == _CHOICE_COUNT:
                    break
            if best is not None:
                return best
        return fallback

    def _penalty(self, member: Member, load: float, now_s: float) -> int:
        """Returns 0 for an available instance, else the rank of its problems.

        A higher penalty means a stronger reason to choose another instance.
        """
        instance_id = member.instance.instance_id
        penalty = 0
        if load >= _FULL_LOAD:
            penalty += 1
        if self._load.has_refused(instance_id, now_s):
            penalty += 2
        if self._ejection.is_ejected(instance_id, now_s):
            penalty += 4
        if member.state is MemberState.SUSPECT:
            penalty += 8
        return penalty

    def _sample(self, tier: tuple[Member, ...]) -> list[Member]:
        """Returns up to `MAX_SAMPLED` distinct members of a tier.

        The first two are random; the others follow the first one in the tier.
        """
        size = len(tier)
        if size == 1:
            return [tier[0]]
        first = int(self._random() * size)
        second = (first + 1 + int(self._random() * (size - 1))) % size
        sampled = [tier[first], tier[second]]
        index = first
        for _ in range(min(size, MAX_SAMPLED) - _CHOICE_COUNT):
            index = (index + 1) % size
            if index == second:
                index = (index + 1) % size
            sampled.append(tier[index])
        return sampled
