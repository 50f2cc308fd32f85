"""Why the gateway refused a request that has not run."""

from guavacleat.explain.kinds import Cause, CauseKind
from guavacleat.explain.queueing import QueueStay
from guavacleat.explain.timeline import RequestTimeline

__all__ = ["find_refusal"]


def find_refusal(timeline: RequestTimeline) -> Cause | None:
    """The cause of a refusal; None if the request wasn't refused."""
    end = timeline.end
    if end.get("outcome") == "EVACUATED":
        return Cause(
            CauseKind.EVACUATED,
            "The data centres of its service's endpoints were evacuated. It has not run and may be"
            f" retried after {end.get('retry_after')} s.",
        )
    if end.get("outcome") == "COLD":
        return Cause(
            CauseKind.COLD,
            "The endpoints of its service were cold, and its gateway's share of their request rate"
            f" was used up for {end.get('retry_after')} s. It has not run.",
        )
    if end.get("outcome") == "LIMITED":
        return Cause(
            CauseKind.LIMITED,
            "Its service's endpoints limit their request rate, and its gateway's share of it was"
            f" used up for {end.get('retry_after')} s. It has not run.",
        )
    if end.get("outcome") == "PAUSED":
        return Cause(
            CauseKind.PAUSED,
            "The endpoints of its service had turned its gateway away and asked for a pause; it may"
            f" be retried after {end.get('retry_after')} s. It has not run.",
        )
    sentences = {
        "NO_CONFIGURATION": "Its gateway had no configuration yet.",
        "BEHIND": "Another gateway had a newer configuration, which may allow it.",
        "NO_ENDPOINT": "No endpoint of its service accepted requests.",
        "STOPPING": "Its gateway was shutting down and could not have completed it.",
    }
    if end.get("outcome") == "QUARANTINED":
        return Cause(
            CauseKind.QUARANTINED,
            f"Similar requests had crashed their endpoints: {end.get('detail')}. It has not run and"
            f" may be retried after {end.get('retry_after')} s.",
        )
    if end.get("outcome") == "NO_ROOM":
        return Cause(CauseKind.NO_ROOM, _no_room(timeline))
    sentence = sentences.get(end.get("outcome"))
    return sentence and Cause(CauseKind.REFUSED, f"{sentence} It has not run.")


def _no_room(timeline: RequestTimeline) -> str:
    """What the request waited for, its place in the order, and when its caller may return."""
    refusals = len(timeline.all_of("stream:refused")) + len(timeline.all_of("request:attempt"))
    why = timeline.end.get("detail") or f"{refusals} endpoints refused it"
    stay = QueueStay(timeline)
    queued = timeline.last("stream:waits") is not None and stay.describe()
    place = f" It was queued for {stay.waited:.2f} s ({stay.describe()})." if queued else ""
    returns = ""
    if stay.retry_after is not None:
        returns = f" and may be retried after {stay.retry_after:.2f} s"
    return f"No capacity: {why}.{place} It has not run{returns}."
