"""How long a generation waited for an engine, or would have, from its log lines."""

import re

from guavacleat.explain.timeline import RequestTimeline

__all__ = ["QueueStay"]

# What the text of a refusal says (`detail` of `request:end`, from admission/refusal_policy.py).
EXPECTED_PATTERN = re.compile(r"expected to wait ([0-9.]+) s")
RANK_PATTERN = re.compile(r"at rank (\d+)")


class QueueStay:
    """A request's wait for an engine; fields that the logs don't have are None.

    :ivar waited: seconds in the queue until the dispatch or the refusal; 0 if refused on arrival.
    :ivar rank: its place among the requests of the service, 0 is the first.
    :ivar expected: seconds that it was expected to wait; of a refused one, when it was refused.
    :ivar ahead: number of requests ahead of it when it was queued.
    :ivar penalty: seconds that it was put back for its account's use.
    :ivar left_room: number of peers' requests for which room was left at its dispatch.
    :ivar retry_after: seconds after which its caller may return.
    """

    __slots__ = ("waited", "rank", "expected", "ahead", "penalty", "left_room", "retry_after")

    def __init__(self, timeline: RequestTimeline):
        detail = _refusal_text(timeline)
        waits = timeline.fields_of("stream:waits")
        dispatched = timeline.fields_of("stream:dispatched")
        rank = dispatched.get("rank", waits.get("rank"))
        self.rank = _number(RANK_PATTERN, detail, int) if rank is None else rank
        expected = _number(EXPECTED_PATTERN, detail, float)
        self.expected = waits.get("expected") if expected is None else expected
        self.ahead = waits.get("ahead")
        self.penalty = waits.get("penalty")
        self.left_room = dispatched.get("left_room")
        self.waited = dispatched.get("waited", _seconds_queued(timeline))
        self.retry_after = timeline.end.get("retry_after") if detail else None

    def describe(self) -> str:
        """Its place in the order, in words; empty if no line has a rank."""
        if self.rank is None:
            return ""
        parts = [
            f"rank {self.rank}",
            None if self.ahead is None else f"{self.ahead} ahead of it",
            None if self.expected is None else f"expected to wait {self.expected:.2f} s",
            f"put back by {self.penalty:.2f} s for its account's use" if self.penalty else None,
            f"room left for {self.left_room} requests of peers" if self.left_room else None,
        ]
        return ", ".join(part for part in parts if part)


def _refusal_text(timeline: RequestTimeline) -> str:
    """The reason of a refusal for want of room; empty if it wasn't refused so."""
    end = timeline.end
    if end is None or end.get("outcome") != "NO_ROOM":
        return ""
    return end.get("detail") or ""


def _seconds_queued(timeline: RequestTimeline) -> float:
    """Seconds from the line that the request waits to its dispatch, or to its end."""
    waits = timeline.last("stream:waits")
    if waits is None:
        return 0.0
    ends = ("stream:placed", "request:end")
    later = (line.at for line in timeline.own_lines if line.type in ends and line.at >= waits.at)
    return next(later, waits.at) - waits.at


def _number(pattern: re.Pattern, text: str, type):
    """The number that ``pattern`` finds; None if there is none."""
    found = pattern.search(text)
    return None if found is None else type(found[1])
