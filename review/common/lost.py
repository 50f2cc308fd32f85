"""Client attempts as their clients see them, and the rule LOST around a SIGTERM."""

import asyncio
import time

import world

GRACE_S = 8.0
LOSS_SLACK_S = 0.2


class Attempt:
    """One client attempt; ``deadline_s`` is the client's or the route's, whichever is shorter."""

    def __init__(self, id, deadline_s):
        self.id = id
        self.deadline_s = deadline_s
        # Clock times at which the last byte was sent, and at which the connection or answer ended.
        self.sent_at = None
        self.ended_at = None
        self.status = None
        self.outcome = ""


async def send(record, attempt, connection, target, headers, body, first_part=None, rest_at=None):
    """Send the attempt on an open connection and record its answer.

    :param first_part: bytes of the body sent at once; the rest follows at clock time ``rest_at``.
    """
    reader, writer = connection
    fields = {
        "Host": "svc.example",
        "Attempt-Id": attempt.id,
        "Deadline-Ms": str(int(attempt.deadline_s * 1000)),
        "Content-Length": len(body),
        **headers,
    }
    part = len(body) if first_part is None else first_part
    try:
        writer.write(world.encode_head(f"POST {target} HTTP/1.1", fields) + body[:part])
        if rest_at is not None:
            await asyncio.sleep(max(0.0, rest_at - time.monotonic()))
            writer.write(body[part:])
        attempt.sent_at = time.monotonic()
        record(f"client has sent {attempt.id}")
        attempt.status, _, answer = await world.read_answer(reader)
        attempt.outcome = f"{attempt.status}, {len(answer)} bytes"
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        attempt.outcome = f"no complete answer, {type(exc).__name__}"
    attempt.ended_at = time.monotonic()
    seconds = attempt.ended_at - (attempt.sent_at or attempt.ended_at)
    record(f"client got for {attempt.id} after {seconds:.3f} s: {attempt.outcome}")


def is_lost(attempt, engine, stopped_at):
    """Whether LOST counts the attempt: a SIGTERM came at ``stopped_at``, None for none.

    :param engine: its ``runs_by_id`` tells whether the attempt was passed on, and
        ``worked_until_by_id`` when the engine stopped to work on it.
    """
    if stopped_at is None or attempt.status is not None or attempt.sent_at is None:
        return False
    if not stopped_at <= attempt.ended_at <= stopped_at + GRACE_S + 1:
        return False
    passed_on = bool(engine.runs_by_id.get(attempt.id))
    if not passed_on and attempt.ended_at - attempt.sent_at <= LOSS_SLACK_S:
        return False
    if attempt.ended_at - attempt.sent_at >= attempt.deadline_s:
        return False
    if passed_on and attempt.sent_at <= stopped_at + 3:
        # The engine may have been at work on it in the last sixth of the grace.
        worked_until = engine.worked_until_by_id.get(attempt.id, float("inf"))
        return worked_until < stopped_at + GRACE_S * 5 / 6
    return True


def report(record, attempts, engine, stopped_at):
    """Record the lost attempts; return what main() prints, empty if there are none."""
    if not any(attempt.status == 200 for attempt in attempts):
        raise world.CannotRunError("no request was answered")
    lost = [attempt for attempt in attempts if is_lost(attempt, engine, stopped_at)]
    for attempt in lost:
        runs = len(engine.runs_by_id.get(attempt.id, ()))
        record(f"LOST: {attempt.id}, runs at the engine: {runs}, {attempt.outcome}")
    return f"LOST: {len(lost)} requests ended without an answer" if lost else ""
