"""Time that choosing an instance takes, by the number of instances."""

import random
import time
from collections.abc import Callable, Sequence

from magnoliafork.balance.candidates import CandidateIndex
from magnoliafork.balance.chooser import Chooser
from magnoliafork.balance.ejection import OutlierEjection
from magnoliafork.balance.load import LoadTable
from magnoliafork.bench.figure import Figure, Measurement
from magnoliafork.model.instance import Instance, Member, MemberState
from magnoliafork.model.manifest import Manifest
from magnoliafork.model.rules import RuleSet
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version

INSTANCE_COUNTS = (9, 90, 900)
SEED = 20_261_204
SERVICE = "orders"
ZONES = 3
CONCURRENCY_LIMIT = 12
NOW_S = 100.0
CHOICES_PER_ROUND = 2_000
SCANS_PER_ROUND = 100
QUICK_ROUNDS = 3
FULL_ROUNDS = 30


class _FixedMembership:
    """Membership table whose members never change."""

    change_count = 0

    def __init__(self, instance_count: int) -> None:
        self.members = [
            Member(
                Instance(
                    f"{SERVICE}-{number}",
                    SERVICE,
                    f"zone-{number % ZONES}",
                    "region",
                    "127.0.0.1",
                    1,
                ),
                1,
                MemberState.ALIVE,
            )
            for number in range(instance_count)
        ]

    def get(self, instance_id: str) -> Member | None:
        return None

    def members_of(self, service: str) -> Sequence[Member]:
        return self.members

    def state_age_s(self, instance_id: str, now_s: float) -> float:
        return now_s


class _ChoiceMethods:
    """The choice of a sender and a full scan, on the same members and hints."""

    def __init__(self, instance_count: int) -> None:
        rng = random.Random(SEED)
        self._members = _FixedMembership(instance_count)
        self._load = LoadTable()
        for member in self._members.members:
            self._load.record_hint(
                member.instance.instance_id,
                rng.randrange(CONCURRENCY_LIMIT),
                CONCURRENCY_LIMIT,
                NOW_S,
            )
        self._index = CandidateIndex(self._members, "zone-0", "region")
        self._chooser = Chooser(self._load, OutlierEjection(), rng)
        rules = RuleSet({}, (), frozenset(), frozenset(), frozenset())
        self._snapshot = Snapshot(Version(1, ""), Manifest(1, 1, ()), {}, rules)

    def choose(self) -> Member | None:
        """Looks the candidates up and chooses as a sender does."""
        candidates = self._index.of_service(SERVICE, self._snapshot)
        return self._chooser.choose(candidates, (), NOW_S)

    def scan(self) -> Member | None:
        """Scans all instances for the least loaded one."""
        return min(
            self._members.members,
            key=lambda member: self._load.load(
                member.instance.instance_id, NOW_S
            ),
        )


def _fastest_choice_us(
    choose: Callable[[], Member | None], choices_per_round: int, rounds: int
) -> float:
    """Returns the time of one choice in the fastest of several rounds."""
    fastest_s = min(
        _time_round_s(choose, choices_per_round) for _ in range(rounds)
    )
    return round(fastest_s / choices_per_round * 1e6, 3)


def _time_round_s(
    choose: Callable[[], Member | None], choices_per_round: int
) -> float:
    start_s = time.perf_counter()
    for _ in range(choices_per_round):
        choose()
    return time.perf_counter() - start_s


async def measure(is_quick: bool) -> list[Figure]:
    """Times one choice; the baseline scans all instances."""
    rounds = QUICK_ROUNDS if is_quick else FULL_ROUNDS
    figures: list[Figure] = []
    for instance_count in INSTANCE_COUNTS:
        methods = _ChoiceMethods(instance_count)
        figures.append(
            Figure(
                name="choice_cost",
                variant=f"{instance_count} instances",
                nodes=0,
                value=_fastest_choice_us(
                    methods.choose, CHOICES_PER_ROUND, rounds
                ),
                unit="us",
                baseline=_fastest_choice_us(
                    methods.scan, SCANS_PER_ROUND, rounds
                ),
            )
        )
    return figures


MEASUREMENTS: tuple[Measurement, ...] = (measure,)
