"""The times between the output tokens of this gateway's own streams, by engine."""

import collections

from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.entries import EndpointEntry

__all__ = [
    "MICROS_PER_SECOND",
    "RESTART_HOLD_SECONDS",
    "WINDOW_SECONDS",
    "EventTimer",
    "TokenTimes",
    "is_plausible_timing",
]

# Time over which tokens are summed: enough of them for a stable mean, and short enough to follow
# an engine whose speed changes.
WINDOW_SECONDS = 4.0
# The sums are kept in parts of this duration, so that old ones can be dropped.
PART_SECONDS = 0.5
# No engine is faster; a mean below this is a measurement error or a peer's fault.
MIN_SECONDS_PER_TOKEN = 0.0001
# A longer pause does not come from the engine's speed: the run was preempted or its engine hung.
MAX_SECONDS_PER_TOKEN = 1.0
# Sums of an engine that restarted are ignored for this time, because the reports of peers may
# contain those of its earlier process. A report counts for 1.6 s.
RESTART_HOLD_SECONDS = 2.0
MICROS_PER_SECOND = 1_000_000


def is_plausible_timing(tokens: int, micros: int) -> bool:
    """Whether an engine may need ``micros`` for ``tokens`` of its streams."""
    seconds = micros / MICROS_PER_SECOND
    return tokens > 0 and MIN_SECONDS_PER_TOKEN <= seconds / tokens <= MAX_SECONDS_PER_TOKEN


class _Window:
    """The sums for one process of an engine, in parts by time."""

    __slots__ = ("entry", "parts", "tokens", "micros")

    def __init__(self, entry: EndpointEntry):
        self.entry = entry
        # Lists of the part's number, its tokens and its microseconds; oldest first.
        self.parts: collections.deque[list[int]] = collections.deque()
        self.tokens = 0
        self.micros = 0

    def add(self, part: int, tokens: int, micros: int) -> None:
        if not self.parts or self.parts[-1][0] != part:
            self.parts.append([part, 0, 0])
        self.parts[-1][1] += tokens
        self.parts[-1][2] += micros
        self.tokens += tokens
        self.micros += micros

    def drop_before(self, part: int) -> None:
        while self.parts and self.parts[0][0] < part:
            _, tokens, micros = self.parts.popleft()
            self.tokens -= tokens
            self.micros -= micros


class TokenTimes:
    """Sums of the output tokens of the last ``WINDOW_SECONDS`` and of the time between them.

    It holds the engines with tokens in that time, and those that left or restarted lately.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.windows_by_endpoint: dict[str, _Window] = {}
        self.forgotten_at_by_endpoint: dict[str, float] = {}

    def record(self, entry: EndpointEntry, tokens: int, seconds: float) -> None:
        """Add ``tokens`` that arrived ``seconds`` after the previous ones of their stream.

        Ignored if a later process of the engine is known, or if the time is out of bounds.
        """
        if not 0 <= seconds <= MAX_SECONDS_PER_TOKEN * tokens:
            return
        window = self.windows_by_endpoint.get(entry.id)
        if window is not None and entry.started_before(window.entry):
            return
        if window is None or window.entry.started_before(entry):
            self._drop_empty_windows()
            window = self.windows_by_endpoint[entry.id] = _Window(entry)
        window.add(self._current_part(), tokens, round(seconds * MICROS_PER_SECOND))

    def sums(self, endpoint_id: str) -> tuple[int, int]:
        """The tokens of the engine and the microseconds between them.

        ``(0, 0)`` if there are none or if their mean is out of bounds.
        """
        window = self.windows_by_endpoint.get(endpoint_id)
        if window is None:
            return 0, 0
        window.drop_before(self._oldest_part())
        sums = window.tokens, window.micros
        return sums if is_plausible_timing(*sums) else (0, 0)

    def forget(self, endpoint_id: str) -> None:
        """Discard the sums of an engine that has left or restarted."""
        now = self.clock.seconds()
        self.windows_by_endpoint.pop(endpoint_id, None)
        forgotten = self.forgotten_at_by_endpoint
        for id in [id for id, at in forgotten.items() if now - at >= RESTART_HOLD_SECONDS]:
            del forgotten[id]
        forgotten[endpoint_id] = now

    def recently_forgotten(self, endpoint_id: str) -> bool:
        """Whether peers may still report the sums of an earlier process of the engine."""
        forgotten_at = self.forgotten_at_by_endpoint.get(endpoint_id, float("-inf"))
        return self.clock.seconds() - forgotten_at < RESTART_HOLD_SECONDS

    def _current_part(self) -> int:
        return int(self.clock.seconds() / PART_SECONDS)

    def _oldest_part(self) -> int:
        return self._current_part() - int(WINDOW_SECONDS / PART_SECONDS) + 1

    def _drop_empty_windows(self) -> None:
        oldest = self._oldest_part()
        self.windows_by_endpoint = {
            id: window
            for id, window in self.windows_by_endpoint.items()
            if window.parts and window.parts[-1][0] >= oldest
        }


class EventTimer:
    """Records the times between the events of one attempt; the first ones have none before them.

    :param tokens_per_event: output tokens per event.
    """

    __slots__ = ("times", "entry", "tokens_per_event", "previous_at", "stopped")

    def __init__(self, times: TokenTimes, entry: EndpointEntry, tokens_per_event: int):
        self.times = times
        self.entry = entry
        self.tokens_per_event = tokens_per_event
        self.previous_at: float | None = None
        self.stopped = False

    def events_received(self, count: int) -> None:
        """Record ``count`` events that arrived together."""
        if self.stopped or not count:
            return
        now = self.times.clock.seconds()
        if self.previous_at is not None:
            self.times.record(self.entry, count * self.tokens_per_event, now - self.previous_at)
        self.previous_at = now

    def stop(self) -> None:
        """Stop recording: from now on a slow caller may delay the events."""
        self.stopped = True
