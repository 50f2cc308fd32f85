"""When the caller of a stream got its events."""

__all__ = ["StreamTimes"]


class StreamTimes:
    """When a caller got its events; seconds.

    :param first: from the request's arrival to its first event; None before it.
    :param longest_gap: the longest pause between two events.
    :param gap_event: the event that ended that pause.
    """

    __slots__ = ("arrived", "first", "last_at", "longest_gap", "gap_event")

    def __init__(self, arrived: float):
        self.arrived = arrived
        self.first: float | None = None
        self.last_at = arrived
        self.longest_gap = 0.0
        self.gap_event: int | None = None

    def event(self, now: float, id: int | None) -> None:
        """An event went to the caller."""
        if self.first is None:
            self.first = now - self.arrived
        elif now - self.last_at > self.longest_gap:
            self.longest_gap = now - self.last_at
            self.gap_event = id
        self.last_at = now
