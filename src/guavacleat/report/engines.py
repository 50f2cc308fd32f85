"""What became of each engine: its coming, what it held, its notice, the copies off it, its end."""

from guavacleat.explain import LogIndex, LogLine

__all__ = ["Belief", "CopyOff", "EngineHistory", "engine_histories"]


class Belief:
    """What a gateway believed of an engine as it sent a generation there."""

    __slots__ = ("at", "instance", "runs", "expected", "unread")

    def __init__(self, line: LogLine):
        self.at = line.at
        self.instance = line.instance
        self.runs = line.get("runs") or 0
        self.expected = line.get("expected") or 0
        self.unread = line.get("unread") or 0


class CopyOff:
    """One copy off an engine, from when it was asked for until it was there or failed."""

    __slots__ = ("began", "ended", "tokens", "status", "target")

    def __init__(self, line: LogLine):
        self.began = line.at - (line.get("seconds") or 0.0)
        self.ended = line.at
        self.tokens = line.get("tokens") or 0
        self.status = line.get("status")
        self.target = line.get("target")

    @property
    def made(self) -> bool:
        return self.status == 200


class EngineHistory:
    """One engine; times in seconds, None where no gateway told of it.

    :param notice_at: when a gateway first heard that it leaves.
    :param ended_at: when the last stream on it broke off.
    """

    __slots__ = (
        "id",
        "data_centre",
        "ready_at",
        "notice_at",
        "ended_at",
        "beliefs",
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
        self.beliefs: list[Belief] = []
        self.copies: list[CopyOff] = []
        self.broken = 0
        self.handed_over = 0

    @property
    def notice(self) -> float | None:
        """Seconds from its notice to its end, if a stream saw both."""
        if self.notice_at is None or self.ended_at is None:
            return None
        return self.ended_at - self.notice_at

    @property
    def copied_tokens(self) -> int:
        return sum(copy.tokens for copy in self.copies if copy.made)

    def link_busy(self) -> float:
        """Seconds in which at least one copy off the engine was under way."""
        busy, until = 0.0, float("-inf")
        for copy in sorted(self.copies, key=lambda copy: copy.began):
            busy += max(0.0, copy.ended - max(copy.began, until))
            until = max(until, copy.ended)
        return busy

    def expected_at_notice(self) -> int | None:
        """Memory that the last generation's gateway expected there before the notice."""
        before = [
            belief.expected
            for belief in self.beliefs
            if self.notice_at is None or belief.at <= self.notice_at
        ]
        return before[-1] if before else None

    def _take(self, line: LogLine) -> None:
        if line.type == "endpoint:changed":
            self._take_change(line)
        elif line.type == "stream:placed":
            self.beliefs.append(Belief(line))
        elif line.type == "move:copied":
            self.copies.append(CopyOff(line))
        elif line.type == "stream:handed-over":
            self.handed_over += 1
        elif line.type == "stream:broken" and line.get("end") == "broken":
            self.broken += 1
            if self.notice_at is not None:
                self.ended_at = line.at

    def _take_change(self, line: LogLine) -> None:
        self.data_centre = line.get("data_centre")
        state = line.get("state")
        if state == "ready" and self.ready_at is None:
            self.ready_at = line.at
        elif state in ("draining", "gone") and self.notice_at is None:
            self.notice_at = line.at


def engine_histories(index: LogIndex) -> list[EngineHistory]:
    """Histories of the endpoints that ran generations, in the order in which they came."""
    by_id: dict[str, EngineHistory] = {}
    for line in index.lines:
        id = line.get("source") or line.get("endpoint")
        if id is not None:
            by_id.setdefault(id, EngineHistory(id))._take(line)
    return [history for history in by_id.values() if history.beliefs]
