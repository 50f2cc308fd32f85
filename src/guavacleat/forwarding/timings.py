"""Event timings of streams, and the generation speed estimated from them."""

__all__ = ["GenerationSpeed", "StreamTimings"]

# Weight of the latest stream in the exponential moving average.
SMOOTHING_FACTOR = 0.1
# Used until the first stream completes.
INITIAL_SECONDS_PER_TOKEN = 0.01


class GenerationSpeed:
    """Moving average of the generation speed of this gateway's streams."""

    __slots__ = ("seconds_per_token",)

    def __init__(self):
        self.seconds_per_token = INITIAL_SECONDS_PER_TOKEN

    def observe(self, timings: "StreamTimings", tokens: int) -> None:
        """Include a finished stream of ``tokens`` output tokens."""
        if timings.first_event_delay is None or tokens <= 0:
            return
        seconds = timings.last_event_at - timings.arrived_at - timings.first_event_delay
        self.seconds_per_token += SMOOTHING_FACTOR * (seconds / tokens - self.seconds_per_token)

    def estimate_seconds(self, tokens: int) -> float:
        """Expected time to generate ``tokens``."""
        return tokens * self.seconds_per_token


class StreamTimings:
    """Timings of the events sent to one caller, in seconds.

    :ivar first_event_delay: from the request's arrival to the first event; None before it.
    :ivar longest_gap: the longest pause between two events.
    :ivar gap_event: id of the event after that pause.
    """

    __slots__ = ("arrived_at", "first_event_delay", "last_event_at", "longest_gap", "gap_event")

    def __init__(self, arrived_at: float):
        self.arrived_at = arrived_at
        self.first_event_delay: float | None = None
        self.last_event_at = arrived_at
        self.longest_gap = 0.0
        self.gap_event: int | None = None

    def event_sent(self, now: float, id: int | None) -> None:
        """Record that an event was sent to the caller."""
        if self.first_event_delay is None:
            self.first_event_delay = now - self.arrived_at
        elif now - self.last_event_at > self.longest_gap:
            self.longest_gap = now - self.last_event_at
            self.gap_event = id
        self.last_event_at = now
