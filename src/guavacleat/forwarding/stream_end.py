"""The log line of a stream's end."""

__all__ = ["describe_end"]


def describe_end(session) -> dict:
    """The message type and the fields of a :class:`~.session.StreamSession` that has ended."""
    timings, goal = session.timings, session.request.route.gap_goal
    first = timings.first_event_delay
    late = first is None or first > session.request.route.latency_goal
    paused = goal is not None and timings.longest_gap > goal
    served = "stream:late" if late or paused else "stream:on-time"
    return {
        "message_type": served if session.completed else "stream:unfinished",
        "endpoint": session.attempt.entry.id if session.attempt else None,
        "first": None if first is None else round(first, 3),
        "gap": round(timings.longest_gap, 3),
        "paused": paused,
        "gap_event": timings.gap_event,
        "moves": session.moves,
        "expected": session.request.expected_tokens(),
        "tokens": session.memory.tokens,
    }
