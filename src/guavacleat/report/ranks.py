"""Waits and refusals of the generations of contended services, by rank."""

import itertools
import operator
import statistics

from guavacleat.explain import CauseKind, LogIndex, QueueStay, build_timeline, classify

__all__ = ["RankStays", "rank_stays"]


class RankStays:
    """The generations of one rank that were queued or refused for want of room.

    :param refused: how many of ``stays`` were refused.
    """

    __slots__ = ("rank", "stays", "refused")

    def __init__(self, rank: int, stays: list[QueueStay], refused: int):
        self.rank = rank
        self.stays = stays
        self.refused = refused

    @property
    def left_room(self) -> int:
        """Requests of peers for which room was left at the dispatches."""
        return sum(stay.left_room or 0 for stay in self.stays)

    def median(self, field: str) -> float | None:
        """Median of a field of :class:`QueueStay` over the generations that have it."""
        values = [getattr(stay, field) for stay in self.stays]
        values = [value for value in values if value is not None]
        return statistics.median(values) if values else None


def rank_stays(index: LogIndex) -> list[RankStays]:
    """The queued and refused generations by rank, the most urgent first."""
    timelines = (build_timeline(request, index) for request in index.by_request)
    found = ((QueueStay(timeline), classify(timeline).kind) for timeline in timelines)
    ranked = [(stay.rank, stay, kind) for stay, kind in found if stay.rank is not None]
    ranked.sort(key=operator.itemgetter(0))
    groups = itertools.groupby(ranked, key=operator.itemgetter(0))
    return [_make_stays(rank, list(group)) for rank, group in groups]


def _make_stays(rank: int, group: list[tuple]) -> RankStays:
    refused = sum(kind is CauseKind.NO_ROOM for _, _, kind in group)
    return RankStays(rank, [stay for _, stay, _ in group], refused)
