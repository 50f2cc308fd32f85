"""When the caller of a stream got its events."""

__all__ = ["GenerationSpeed", "StreamTimings"]


# Weight of the newest stream in the moving average.
SMOOTHING = 0.1
# Before any stream ended.
FIRST_GUESS_SECONDS_PER_TOKEN = 0.01


class GenerationSpeed:
    """How fast engines generate, learnt from the streams that ended here."""

    __slots__ = ("seconds_per_token",)

    def __init__(self):
        self.seconds_per_token = FIRST_GUESS_SECONDS_PER_TOKEN

    def observe(self, times: "StreamTimings", tokens: int) -> None:
        """A stream of ``tokens`` output tokens ended."""
        if times.first is None or tokens <= 0:
            return
        seconds = times.last_at - times.arrived - times.first
        self.seconds_per_token += SMOOTHING * (seconds / tokens - self.seconds_per_token)

    def estimate_seconds(self, tokens: int) -> float:
        """How long ``tokens`` will take."""
        return tokens * self.seconds_per_token


class StreamTimings:
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
