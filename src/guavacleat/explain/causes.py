"""Naming the cause of a request's end: its kind, to be counted, and one sentence to read.

Each finder looks at one kind of end and returns a :class:`Cause`, or None if it is another kind.
The first that knows wins; :func:`classify` goes through :data:`FINDERS`.
"""

import enum

from guavacleat.explain.story import Story

__all__ = ["FINDERS", "Cause", "CauseKind", "classify", "find_cause"]


class CauseKind(enum.Enum):
    """What decided how a request ended; the values head the report's columns."""

    ON_TIME = "on time"
    LATE_WAITED = "waited for room"
    LATE_FIRST = "first event late"
    LATE_MOVED = "pause of a move"
    LATE_PAUSE = "other pause"
    LATE_ANSWER = "late answer"
    ENGINE_LEFT = "engine left"
    ENGINE_CRASHED = "engine crashed"
    BEFORE_FIRST_EVENT = "engine gone before first event"
    GATEWAY_STOPPED = "gateway stopped"
    GATEWAY_GONE = "gateway gone"
    NOT_ALLOWED = "not allowed"
    NO_ROOM = "refused: no room"
    QUARANTINED = "refused: crashes endpoints"
    REFUSED = "refused: other"
    EXPIRED = "time up"
    NO_WHOLE_ANSWER = "no whole answer"
    CALLER_LEFT = "caller left"
    ENDPOINT_FAILED = "endpoint failed"
    UNKNOWN = "unknown"


class Cause:
    """A kind and a sentence."""

    __slots__ = ("kind", "sentence")

    def __init__(self, kind: CauseKind, sentence: str):
        self.kind = kind
        self.sentence = sentence


# What a copy's status means, as an engine answers it; 0 is the gateway's own for no answer.
COPY_STATUSES = {
    0: "the copy of the stream was not through by then",
    404: "the engine had not begun to run it, so that there was nothing to copy",
    409: "a copy of it was under way already",
    503: "the other engine had no memory for a copy",
}
SERVER_ERROR = 500
# A gateway that stops lets streams run on for some seconds; sooner, the cause is another.
STOP_GRACE_SECONDS = 5.0


def classify(story: Story) -> Cause:
    """Why the request ended as it did."""
    found = (finder(story) for finder in FINDERS)
    return next((cause for cause in found if cause), UNKNOWN)


def find_cause(story: Story) -> str:
    """One sentence on why the request ended as it did."""
    return classify(story).sentence


UNKNOWN = Cause(
    CauseKind.UNKNOWN,
    "The logs do not tell: look at the lines above, and at log:left-out of its gateway.",
)


def _unfinished(story: Story) -> Cause | None:
    if story.end is not None:
        return None
    last = story.own[-1]
    return Cause(
        CauseKind.GATEWAY_GONE,
        f"Its gateway {last.instance} was gone before it ended: no line tells its outcome.",
    )


def _not_allowed(story: Story) -> Cause | None:
    end = story.end
    if end.get("outcome") not in ("UNKNOWN_KEY", "UNKNOWN_ROUTE"):
        return None
    what = "key" if end.get("outcome") == "UNKNOWN_KEY" else "route"
    newer = [
        line
        for line in story.around
        if line.type == "config:accepted" and line.at > end.at - end.get("seconds")
    ]
    sentence = f"Version {end.get('config')} of the configuration has no such {what}"
    if newer:
        delay = newer[0].at - end.at
        sentence += f"; version {newer[0].get('version')} came {delay:.2f} s after it ended"
    if _store_was_lost(story):
        sentence += "; its gateway could not reach the store meanwhile"
    sentence += _failed_watches(story)
    return Cause(CauseKind.NOT_ALLOWED, sentence + ".")


def _failed_watches(story: Story) -> str:
    """What its gateway got no whole answer about, as the end of a sentence."""
    failures_by_kind = {
        line.get("kind"): line.get("failures")
        for line in story.around
        if line.type == "watch:failed"
    }
    return "".join(
        f"; its gateway's watch of {kind} got no whole answer, {failures} times in a row"
        for kind, failures in failures_by_kind.items()
    )


def _store_was_lost(story: Story) -> bool:
    states = [line.type for line in story.around if line.type in ("store:lost", "store:back")]
    return bool(states) and "store:lost" in states


def _refused(story: Story) -> Cause | None:
    end = story.end
    sentences = {
        "NO_CONFIGURATION": "Its gateway had no configuration yet.",
        "BEHIND": "Its gateway had an older configuration than another one, which may allow it.",
        "NO_ENDPOINT": "No endpoint of its service took work.",
        "NO_MEMORY": "Its gateway held too many bytes of request bodies.",
        "STOPPING": "Its gateway was stopping and could not have finished it.",
    }
    if end.get("outcome") == "QUARANTINED":
        return Cause(
            CauseKind.QUARANTINED,
            f"Requests for the same had crashed what ran them: {end.get('detail')}. It has not run"
            f" and may come back in {end.get('retry_after')} s.",
        )
    if end.get("outcome") == "NO_ROOM":
        refusals = len(story.every("stream:refused")) + len(story.every("request:attempt"))
        why = end.get("detail") or f"{refusals} endpoints would not run it"
        return Cause(CauseKind.NO_ROOM, f"There was no room: {why}. It has not run.")
    sentence = sentences.get(end.get("outcome"))
    return sentence and Cause(CauseKind.REFUSED, f"{sentence} It has not run.")


def _stopped(story: Story) -> Cause | None:
    """A stream that a stopping gateway could not finish within its grace."""
    broken = story.last("stream:broken")
    stops = [line for line in story.around if line.type == "process:stopping"]
    if broken is None or not stops:
        return None
    waited = broken.at - stops[0].at
    if waited < STOP_GRACE_SECONDS or story.notice(broken.get("endpoint")) is not None:
        return None
    return Cause(
        CauseKind.GATEWAY_STOPPED,
        f"Its gateway {broken.instance} ended {waited:.2f} s after it was told to stop, with the"
        " stream unfinished.",
    )


def _stream_broken(story: Story) -> Cause | None:
    broken = story.last("stream:broken")
    if broken is None:
        return None
    engine = broken.get("endpoint")
    notice = story.notice(engine)
    if notice is None or notice.at > broken.at:
        kind = CauseKind.ENGINE_CRASHED
        sentence = f"Engine {engine} broke off without notice"
    else:
        kind = CauseKind.ENGINE_LEFT
        sentence = f"Engine {engine} was gone {broken.at - notice.at:.2f} s after its notice"
    if broken.get("last_event") is None:
        kind = CauseKind.BEFORE_FIRST_EVENT
    return Cause(kind, f"{sentence}, and {_why_not_elsewhere(story, engine)}.")


def _why_not_elsewhere(story: Story, engine: str) -> str:
    if story.last("stream:broken").get("last_event") is None:
        return "it had sent nothing yet, so that the request may have run and cannot run elsewhere"
    if story.last("stream:not-resumed") is not None:
        return "it does not go on from its copy, as endpoints ended under such requests before"
    copies = [line for line in story.every("move:copied") if line.get("source") == engine]
    if not copies:
        return "the stream had no copy elsewhere and none was tried"
    status = copies[-1].get("status")
    return COPY_STATUSES.get(status, f"its last copy ended with status {status}")


def _attempts(story: Story) -> str:
    """The endpoints that were tried, each with how that ended."""
    tried = story.every("request:attempt")
    return ", ".join(f"{line.get('endpoint')}: {line.get('end')}" for line in tried)


def _expired(story: Story) -> Cause | None:
    if story.end.get("outcome") != "EXPIRED" and story.last("stream:expired") is None:
        return None
    attempts = _attempts(story) or "no endpoint had answered"
    return Cause(CauseKind.EXPIRED, f"Its time was up ({attempts}).")


def _no_whole_answer(story: Story) -> Cause | None:
    if story.end.get("outcome") != "BROKEN":
        return None
    return Cause(
        CauseKind.NO_WHOLE_ANSWER,
        f"No endpoint gave a whole answer of its own ({_attempts(story)}); it may have run.",
    )


def _caller_left(story: Story) -> Cause | None:
    if story.end.get("outcome") != "GONE":
        return None
    seconds = story.end.get("seconds")
    return Cause(CauseKind.CALLER_LEFT, f"Its caller left after {seconds:.2f} s.")


def _own_failure(story: Story) -> Cause | None:
    status = story.end.get("status")
    if story.end.get("outcome") != "ANSWERED" or status is None or status < SERVER_ERROR:
        return None
    return Cause(
        CauseKind.ENDPOINT_FAILED,
        f"The endpoint itself answered {status}; its answer was passed on unchanged.",
    )


def _late(story: Story) -> Cause | None:
    late = story.last("stream:late")
    if late is None or story.end.get("outcome") != "ANSWERED":
        return None
    waited = story.last("stream:placed")
    if late.get("moves") and late.get("gap_event") is not None:
        return Cause(
            CauseKind.LATE_MOVED,
            f"On time but for a pause of {late.get('gap')} s before event {late.get('gap_event')};"
            f" it went on at another engine {late.get('moves')} times.",
        )
    if story.last("stream:waits") is not None and waited is not None:
        seconds = waited.at - story.last("stream:waits").at
        return Cause(
            CauseKind.LATE_WAITED,
            f"Late: it waited {seconds:.2f} s in its gateway until an engine had room.",
        )
    first, gap = late.get("first"), late.get("gap")
    return Cause(
        CauseKind.LATE_PAUSE if late.get("paused") else CauseKind.LATE_FIRST,
        f"Late: its first event came after {first} s, with a pause of {gap} s.",
    )


def _on_time(story: Story) -> Cause | None:
    if story.end.get("outcome") != "ANSWERED":
        return None
    return Cause(
        CauseKind.LATE_ANSWER if story.end.get("late") else CauseKind.ON_TIME,
        f"It was answered with {story.end.get('status')} in {story.end.get('seconds')} s.",
    )


FINDERS = (
    _unfinished,
    _not_allowed,
    _refused,
    _stopped,
    _stream_broken,
    _expired,
    _no_whole_answer,
    _caller_left,
    _own_failure,
    _late,
    _on_time,
)
