"""Which waiting generations start now, by the same rule at every gateway.

Each gateway orders its own waiting requests together with those that its peers report, and assigns
engines to them in this order. It dispatches its own; what it assigns to a peer's it leaves free.
"""

from collections.abc import Iterable

from guavacleat.admission.queues import SHORT_OUTPUT
from guavacleat.placement.engine_choice import GenerationDemand

__all__ = ["Assignment", "Contender", "assign"]


class Contender:
    """A waiting generation.

    :param key: the random key drawn when it was queued.
    :param slack: seconds until its latest start, with its account's penalty; negative if late.
    :param demand: the :class:`GenerationDemand`.
    :param entry: the entry of this gateway's queue; None for a peer's generation.
    """

    __slots__ = ("key", "rank", "slack", "demand", "entry")

    def __init__(self, key: int, rank: int, slack: float, demand: GenerationDemand, entry=None):
        self.key = key
        self.rank = rank
        self.slack = slack
        self.demand = demand
        self.entry = entry

    @property
    def order(self) -> tuple[bool, int, float, int]:
        """Sort key: on time before late, then by rank, latest start and key."""
        return self.slack < 0, self.rank, self.slack, self.key

    @property
    def is_short(self) -> bool:
        """Whether its output is so short that it delays those ahead of it only slightly."""
        return self.demand.expected_tokens - self.demand.prompt_tokens <= SHORT_OUTPUT


class Assignment:
    """What one turn decided.

    :ivar own: the own contenders that start now, each with its engine, in their order.
    :ivar left_room: keys of the peers' contenders for which room is left free.
    :ivar ahead: by key of each own contender that was decided, how many own and how many peers'
        contenders are ahead of it.
    """

    __slots__ = ("own", "left_room", "ahead")

    def __init__(self):
        self.own: list[tuple[Contender, object]] = []
        self.left_room: list[int] = []
        self.ahead: dict[int, tuple[int, int]] = {}


class _Blocked:
    """The engines that contenders without room wait for, by the rank of the contenders."""

    __slots__ = ("ids_by_rank",)

    def __init__(self):
        self.ids_by_rank: dict[int, set[str]] = {}

    def add(self, rank: int, ids: Iterable[str]) -> None:
        self.ids_by_rank.setdefault(rank, set()).update(ids)

    def ids_for(self, contender: Contender) -> set[str]:
        """The engines that the contender must leave to those ahead of it.

        Short outputs release their room soon, and more urgent contenders don't wait for less
        urgent ones.
        """
        if contender.is_short:
            return set()
        ids = (ids for at, ids in self.ids_by_rank.items() if at <= contender.rank)
        return set().union(*ids)


def assign(own: list[Contender], others: list[Contender], engines) -> Assignment:
    """Assign engines to waiting generations, the first in the order first.

    Ends once all of ``own`` are decided.

    :param own: contenders of this gateway that may start now.
    :param others: those for which room is left free: the peers', and those of this gateway that
        are decided later.
    :param engines: the engines with their loads: ``place(contender, closed)`` returns the cheapest
        one with room that is not in ``closed`` (a set of ids), or None, and adds the contender to
        its load; ``usable_ids(contender)`` returns the ids of those that the contender may use.
    """
    assignment, blocked = Assignment(), _Blocked()
    undecided = {contender.key for contender in own}
    own_ahead = peers_ahead = 0
    for contender in sorted((*own, *others), key=lambda contender: contender.order):
        if not undecided:
            break
        engine = engines.place(contender, blocked.ids_for(contender))
        if engine is None:
            blocked.add(contender.rank, engines.usable_ids(contender))
        if contender.key in undecided:
            undecided.remove(contender.key)
            assignment.ahead[contender.key] = (own_ahead, peers_ahead)
            if engine is not None:
                assignment.own.append((contender, engine))
        elif contender.entry is None and engine is not None:
            assignment.left_room.append(contender.key)
        own_ahead += contender.entry is not None
        peers_ahead += contender.entry is None
    return assignment
