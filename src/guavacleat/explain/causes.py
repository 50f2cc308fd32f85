"""Classifies the cause of a request's outcome: a kind for statistics and a sentence for people.

Each finder recognizes one group of outcomes and returns a :class:`Cause`, or None.
:func:`classify` tries :data:`FINDERS` in order; the first match wins.
"""

from guavacleat.explain.kinds import Cause, CauseKind
from guavacleat.explain.queueing import QueueStay
from guavacleat.explain.refused import find_refusal
from guavacleat.explain.timeline import RequestTimeline

__all__ = ["FINDERS", "classify", "find_cause"]


# Meaning of a failed copy's HTTP status; 0: the gateway got no response.
COPY_FAILURES_BY_STATUS = {
    0: "the copy of the stream had not completed by then",
    404: "the engine had not started to run it, so there was nothing to copy",
    409: "a copy of it was already in progress",
    503: "the target engine had no memory for a copy",
}
SERVER_ERROR = 500
# A stopping gateway cuts no stream sooner than this; an earlier end of a stream has another cause.
STOP_GRACE_SECONDS = 5.0


def classify(timeline: RequestTimeline) -> Cause:
    """The cause of the request's outcome."""
    found = (finder(timeline) for finder in FINDERS)
    return next((cause for cause in found if cause), UNKNOWN)


def find_cause(timeline: RequestTimeline) -> str:
    """One sentence that explains the request's outcome."""
    return classify(timeline).sentence


UNKNOWN = Cause(
    CauseKind.UNKNOWN,
    "The logs do not show the cause: check the lines above and its gateway's log:left-out lines.",
)


def _unfinished(timeline: RequestTimeline) -> Cause | None:
    if timeline.end is not None:
        return None
    last = timeline.own_lines[-1]
    return Cause(
        CauseKind.GATEWAY_DIED,
        f"Gateway {last.instance} exited before the request ended: no log line has its outcome.",
    )


def _not_allowed(timeline: RequestTimeline) -> Cause | None:
    end = timeline.end
    if end.get("outcome") not in ("UNKNOWN_KEY", "UNKNOWN_ROUTE"):
        return None
    what = "key" if end.get("outcome") == "UNKNOWN_KEY" else "route"
    newer = [
        line
        for line in timeline.context
        if line.type == "config:accepted" and line.at > end.at - end.get("seconds")
    ]
    sentence = f"Configuration version {end.get('config')} has no such {what}"
    if newer:
        delay = newer[0].at - end.at
        sentence += (
            f"; version {newer[0].get('version')} came {delay:.2f} s after the request ended"
        )
    if _store_was_unreachable(timeline):
        sentence += "; its gateway could not reach the store at the time"
    sentence += _failed_watches(timeline)
    return Cause(CauseKind.NOT_ALLOWED, sentence + ".")


def _failed_watches(timeline: RequestTimeline) -> str:
    """The gateway's watches that kept failing, as the end of a sentence."""
    failures_by_kind = {
        line.get("kind"): line.get("failures")
        for line in timeline.context
        if line.type == "watch:failed"
    }
    return "".join(
        f"; its gateway's watch of {kind} got no complete response, {failures} times in a row"
        for kind, failures in failures_by_kind.items()
    )


def _store_was_unreachable(timeline: RequestTimeline) -> bool:
    states = [line.type for line in timeline.context if line.type in ("store:lost", "store:back")]
    return bool(states) and "store:lost" in states


def _cut_by_gateway_stop(timeline: RequestTimeline) -> Cause | None:
    """A stream that a stopping gateway could not finish within its grace period."""
    broken = timeline.last("stream:broken")
    stops = [line for line in timeline.context if line.type == "process:stopping"]
    if broken is None or not stops:
        return None
    elapsed = broken.at - stops[0].at
    if elapsed < STOP_GRACE_SECONDS or timeline.leave_notice(broken.get("endpoint")) is not None:
        return None
    return Cause(
        CauseKind.GATEWAY_STOPPED,
        f"Gateway {broken.instance} exited {elapsed:.2f} s after it was told to stop, before the"
        " stream was complete.",
    )


def _stream_broken(timeline: RequestTimeline) -> Cause | None:
    broken = timeline.last("stream:broken")
    if broken is None:
        return None
    engine = broken.get("endpoint")
    notice = timeline.leave_notice(engine)
    if notice is None or notice.at > broken.at:
        kind = CauseKind.ENGINE_CRASHED
        sentence = f"Engine {engine} failed without notice"
    else:
        kind = CauseKind.ENGINE_TERMINATED
        sentence = f"Engine {engine} terminated {broken.at - notice.at:.2f} s after its notice"
    if broken.get("last_event") is None:
        kind = CauseKind.BEFORE_FIRST_EVENT
    return Cause(kind, f"{sentence}, and {_why_not_resumed(timeline, engine)}.")


def _why_not_resumed(timeline: RequestTimeline, engine: str) -> str:
    if timeline.last("stream:broken").get("last_event") is None:
        return "it had sent no event yet, so the request may have run and must not run elsewhere"
    not_resumed = timeline.last("stream:not-resumed")
    if not_resumed is not None:
        cause = not_resumed.get("cause") or "similar requests had crashed endpoints"
        return f"its copy was not resumed because {cause}"
    if timeline.last("stream:copy-cold") is not None:
        cause = timeline.last("stream:copy-cold").get("cause") or "was cold"
        return f"the engine with its copy {cause} and could take no more requests"
    copies = [line for line in timeline.all_of("move:copied") if line.get("source") == engine]
    if not copies:
        return "the stream had no copy elsewhere and none was attempted"
    status = copies[-1].get("status")
    return COPY_FAILURES_BY_STATUS.get(status, f"its last copy failed with status {status}")


def _describe_attempts(timeline: RequestTimeline) -> str:
    """The attempted endpoints, each with the attempt's end."""
    attempts = timeline.all_of("request:attempt")
    return ", ".join(f"{line.get('endpoint')}: {line.get('end')}" for line in attempts)


def _expired(timeline: RequestTimeline) -> Cause | None:
    if timeline.end.get("outcome") != "EXPIRED" and timeline.last("stream:expired") is None:
        return None
    attempts = _describe_attempts(timeline) or "no endpoint had responded"
    return Cause(CauseKind.EXPIRED, f"Its deadline passed ({attempts}).")


def _incomplete_answer(timeline: RequestTimeline) -> Cause | None:
    if timeline.end.get("outcome") != "BROKEN":
        return None
    return Cause(
        CauseKind.INCOMPLETE_ANSWER,
        f"No endpoint returned a complete response of its own ({_describe_attempts(timeline)});"
        " it may have run.",
    )


def _caller_disconnected(timeline: RequestTimeline) -> Cause | None:
    if timeline.end.get("outcome") != "GONE":
        return None
    seconds = timeline.end.get("seconds")
    return Cause(CauseKind.CALLER_DISCONNECTED, f"The client disconnected after {seconds:.2f} s.")


def _endpoint_error(timeline: RequestTimeline) -> Cause | None:
    status = timeline.end.get("status")
    if timeline.end.get("outcome") != "ANSWERED" or status is None or status < SERVER_ERROR:
        return None
    return Cause(
        CauseKind.ENDPOINT_FAILED,
        f"The endpoint itself returned {status}; its response was forwarded unchanged.",
    )


def _late(timeline: RequestTimeline) -> Cause | None:
    late = timeline.last("stream:late")
    if late is None or timeline.end.get("outcome") != "ANSWERED":
        return None
    placed = timeline.last("stream:placed")
    if late.get("moves") and late.get("gap_event") is not None:
        return Cause(
            CauseKind.LATE_MIGRATION,
            f"On time but for a pause of {late.get('gap')} s before event {late.get('gap_event')};"
            f" it was migrated to another engine {late.get('moves')} times.",
        )
    if timeline.last("stream:waits") is not None and placed is not None:
        seconds = placed.at - timeline.last("stream:waits").at
        place = QueueStay(timeline).describe()
        return Cause(
            CauseKind.LATE_QUEUED,
            f"Late: it was queued {seconds:.2f} s in its gateway until an engine had capacity"
            + (f" ({place})." if place else "."),
        )
    first, gap = late.get("first"), late.get("gap")
    return Cause(
        CauseKind.LATE_PAUSE if late.get("paused") else CauseKind.LATE_FIRST_EVENT,
        f"Late: its first event arrived after {first} s, with a pause of {gap} s.",
    )


def _on_time(timeline: RequestTimeline) -> Cause | None:
    if timeline.end.get("outcome") != "ANSWERED":
        return None
    return Cause(
        CauseKind.LATE_ANSWER if timeline.end.get("late") else CauseKind.ON_TIME,
        f"It was answered with {timeline.end.get('status')} in {timeline.end.get('seconds')} s.",
    )


FINDERS = (
    _unfinished,
    _not_allowed,
    find_refusal,
    _cut_by_gateway_stop,
    _stream_broken,
    _expired,
    _incomplete_answer,
    _caller_disconnected,
    _endpoint_error,
    _late,
    _on_time,
)
