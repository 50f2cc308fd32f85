"""Which waiting generations of peers count in the order.

A peer may report a generation and not take the room that others leave for it: it may be stuck, or
the engine may be closed to it. Each generation therefore counts for a limited time.
"""

__all__ = ["HEAD_MAX_SECONDS", "SEEN_ROOM_SECONDS", "SLACK_TOLERANCE_SECONDS", "HeadWatch"]

# Time for which room is left free for a peer's generation: longer than a report of another data
# centre takes, and short compared to the goals.
SEEN_ROOM_SECONDS = 0.3
# Longest time for which a peer's generation counts without room, and by how much it may exceed its
# slack at first sight: a report of another data centre may be that old. A peer with a fault must
# not block others by a generation that fits nowhere.
HEAD_MAX_SECONDS = 5.0
SLACK_TOLERANCE_SECONDS = 0.7
# Longest time between two turns that counts as seen room: the interval of turns while generations
# wait here. Between turns further apart, the room wasn't observed.
MAX_TURN_SECONDS = 0.1
# Time for which a generation is remembered after it was last reported, as reports may be lost.
RETENTION_SECONDS = 2.0
# Remembered generations: several times the heads of all reports.
MAX_SEEN = 2048


class _SeenHead:
    """How long a peer's generation has counted; clock times and seconds."""

    __slots__ = ("late", "counts_until", "seen_at", "had_room", "room_seconds", "skipped")

    def __init__(self, head, now: float):
        self.late = head.slack < 0
        slack = HEAD_MAX_SECONDS if self.late else head.slack + SLACK_TOLERANCE_SECONDS
        self.counts_until = now + min(slack, HEAD_MAX_SECONDS)
        self.seen_at = now
        self.had_room = False
        self.room_seconds = 0.0
        self.skipped = False


class HeadWatch:
    """Remembers the peers' waiting generations by key.

    :ivar skipped_count: generations that don't count any more, as their peers didn't take the room.
    """

    def __init__(self):
        # Ordered by the time they were last reported, the oldest first.
        self.seen_by_key: dict[int, _SeenHead] = {}
        self.skipped_count = 0

    def counting(self, heads: list, now: float) -> list:
        """The :class:`WaitingGeneration` objects among ``heads`` that count at clock time ``now``.

        Call :meth:`record_room` afterwards.
        """
        counting = [head for head in heads if self._counts(head, now)]
        self._forget(now)
        return counting

    def record_room(self, keys) -> None:
        """Record the generations for which room was left free in this turn."""
        for key in keys:
            self.seen_by_key[key].had_room = True

    def _counts(self, head, now: float) -> bool:
        seen = self.seen_by_key.pop(head.key, None) or _SeenHead(head, now)
        self.seen_by_key[head.key] = seen
        if head.slack < 0 and not seen.late:
            # It counts on behind all that are on time.
            seen.late, seen.counts_until = True, now + HEAD_MAX_SECONDS
        if seen.had_room:
            seen.room_seconds += min(now - seen.seen_at, MAX_TURN_SECONDS)
        seen.seen_at, seen.had_room = now, False
        if not seen.skipped and seen.room_seconds >= SEEN_ROOM_SECONDS:
            seen.skipped = True
            self.skipped_count += 1
        return not seen.skipped and now <= seen.counts_until

    def _forget(self, now: float) -> None:
        while self.seen_by_key:
            oldest = next(iter(self.seen_by_key))
            recent = self.seen_by_key[oldest].seen_at >= now - RETENTION_SECONDS
            if recent and len(self.seen_by_key) <= MAX_SEEN:
                return
            del self.seen_by_key[oldest]
