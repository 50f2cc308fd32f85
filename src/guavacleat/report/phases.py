"""Where the seconds of streams go, by span of arrivals: the queue, the first event, pauses."""

import statistics

from guavacleat.explain import LogIndex
from guavacleat.explain.lines import LogLine

__all__ = ["SpanPhases", "StreamPhases", "phases_by_span", "stream_phases"]

END_TYPES = ("stream:on-time", "stream:late", "stream:unfinished")


class StreamPhases:
    """The phases of one stream, in seconds.

    :param at: arrival time.
    :param queued: time until it was dispatched to an engine; None if it never was.
    :param first_event: time from the dispatch to the first event; None if there was none.
    :param pause: longest pause between two events.
    :param on_time: whether it was complete and on time.
    """

    __slots__ = ("at", "queued", "first_event", "pause", "on_time")

    def __init__(
        self,
        at: float,
        queued: float | None,
        first_event: float | None,
        pause: float,
        on_time: bool,
    ):
        self.at = at
        self.queued = queued
        self.first_event = first_event
        self.pause = pause
        self.on_time = on_time


class SpanPhases:
    """The streams that arrived within one span of time.

    :param start: start of the span in seconds.
    """

    __slots__ = ("start", "streams")

    def __init__(self, start: float):
        self.start = start
        self.streams: list[StreamPhases] = []

    @property
    def on_time(self) -> int:
        return sum(stream.on_time for stream in self.streams)

    @property
    def never_dispatched(self) -> int:
        return sum(stream.queued is None for stream in self.streams)

    def median(self, phase: str) -> float | None:
        """Median of a field of :class:`StreamPhases` over the streams that have it."""
        values = [getattr(stream, phase) for stream in self.streams]
        values = [value for value in values if value is not None]
        return statistics.median(values) if values else None


def stream_phases(index: LogIndex) -> list[StreamPhases]:
    """The phases of each stream whose end was logged, in order of arrival."""
    found = (_phases(lines) for lines in index.by_request.values())
    return sorted((phases for phases in found if phases is not None), key=lambda item: item.at)


def phases_by_span(streams: list[StreamPhases], seconds: float) -> list[SpanPhases]:
    """Group streams into spans of ``seconds`` by their arrival."""
    spans_by_start: dict[float, SpanPhases] = {}
    for stream in streams:
        start = stream.at // seconds * seconds
        spans_by_start.setdefault(start, SpanPhases(start)).streams.append(stream)
    return [spans_by_start[start] for start in sorted(spans_by_start)]


def _phases(lines: list[LogLine]) -> StreamPhases | None:
    ends = [line for line in lines if line.type in END_TYPES]
    answers = [line for line in lines if line.type == "request:end"]
    if not ends or not answers:
        return None
    end, arrived_at = ends[-1], answers[-1].at - answers[-1].get("seconds")
    placed = next((line for line in lines if line.type == "stream:placed"), None)
    queued = None if placed is None else placed.at - arrived_at
    first = end.get("first")
    return StreamPhases(
        arrived_at,
        queued,
        None if first is None or queued is None else first - queued,
        end.get("gap") or 0.0,
        end.type == "stream:on-time",
    )
