"""Each engine's history: start, estimated memory, termination notice, outgoing copies, end."""

from guavacleat.explain import LogIndex, LogLine

__all__ = ["PlacementEstimate", "OutgoingCopy", "EngineHistory", "engine_histories"]


class PlacementEstimate:
    """A gateway's estimate of an engine's load when it placed a generation there.

    The figures include that generation.

    :ivar runs: number of requests that run on the engine.
    :ivar expected: memory that they are expected to use in total, in tokens.
    :ivar unread: prompt tokens awaiting prefill.
    """

    __slots__ = ("at", "instance", "runs", "expected", "unread")

    def __init__(self, line: LogLine):
        self.at = line.at
        self.instance = line.instance
        self.runs = line.get("runs") or 0
        self.expected = line.get("expected") or 0
        self.unread = line.get("unread") or 0


class OutgoingCopy:
    """One copy of a stream from an engine, from the request until completion or failure."""

    __slots__ = ("started_at", "ended_at", "tokens", "status", "target")

    def __init__(self, line: LogLine):
        self.started_at = line.at - (line.get("seconds") or 0.0)
        self.ended_at = line.at
        self.tokens = line.get("tokens") or 0
        self.status = line.get("status")
        self.target = line.get("target")

    @property
    def succeeded(self) -> bool:
        return self.status == 200


class EngineHistory:
    """One engine; times in seconds, None where no gateway logged one.

    :ivar notice_at: when a gateway first learned that it is leaving.
    :ivar ended_at: when a stream last broke on it after the notice.
    :ivar broken: number of streams that broke on it.
    :ivar handed_over: number of streams that it handed over to another engine.
    """

    __slots__ = (
        "id",
        "data_centre",
        "ready_at",
        "notice_at",
        "ended_at",
        "estimates",
        "copies",
        "broken",
        "handed_over",
    )

    def __init__(self, id: str):
        self.id = id
        self.data_centre: str | None = None
        self.ready_at: float | None = None
        self.notice_at: float | None = None
        self.ended_at: float | None = None
        self.estimates: list[PlacementEstimate] = []
        self.copies: list[OutgoingCopy] = []
        self.broken = 0
        self.handed_over = 0

    @property
    def notice_seconds(self) -> float | None:
        """Seconds from its notice to its end, None unless both were logged."""
        if self.notice_at is None or self.ended_at is None:
            return None
        return self.ended_at - self.notice_at

    @property
    def copied_tokens(self) -> int:
        return sum(copy.tokens for copy in self.copies if copy.succeeded)

    def link_busy_seconds(self) -> float:
        """Seconds in which at least one copy from the engine was in progress."""
        busy, until = 0.0, float("-inf")
        for copy in sorted(self.copies, key=lambda copy: copy.started_at):
            busy += max(0.0, copy.ended_at - max(copy.started_at, until))
            until = max(until, copy.ended_at)
        return busy

    def expected_tokens_at_notice(self) -> int | None:
        """Expected memory use in tokens, as last estimated by a gateway before the notice."""
        estimated = [
            estimate.expected
            for estimate in self.estimates
            if self.notice_at is None or estimate.at <= self.notice_at
        ]
        return estimated[-1] if estimated else None

    def _add_line(self, line: LogLine) -> None:
        if line.type == "endpoint:changed":
            self._add_state_change(line)
        elif line.type == "stream:placed":
            self.estimates.append(PlacementEstimate(line))
        elif line.type == "move:copied":
            self.copies.append(OutgoingCopy(line))
        elif line.type == "stream:handed-over":
            self.handed_over += 1
        elif line.type == "stream:broken" and line.get("end") == "broken":
            self.broken += 1
            if self.notice_at is not None:
                self.ended_at = line.at

    def _add_state_change(self, line: LogLine) -> None:
        self.data_centre = line.get("data_centre")
        state = line.get("state")
        if state == "ready" and self.ready_at is None:
            self.ready_at = line.at
        elif state in ("draining", "gone") and self.notice_at is None:
            self.notice_at = line.at


def engine_histories(index: LogIndex) -> list[EngineHistory]:
    """Histories of the endpoints that ran generations, in order of their first log line."""
    by_id: dict[str, EngineHistory] = {}
    for line in index.lines:
        id = line.get("source") or line.get("endpoint")
        if id is not None:
            by_id.setdefault(id, EngineHistory(id))._add_line(line)
    return [history for history in by_id.values() if history.estimates]
