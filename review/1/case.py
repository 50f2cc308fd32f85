"""Streams that wait in the gateway's queue when it is stopped."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import world  # noqa: E402

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
DEADLINE_S = 39.0
ROUTE_TIMEOUT_S = 39.0


class Request:
    """One client attempt, as its client sees it."""

    def __init__(self, id):
        self.id = id
        self.sent_at = None
        self.ended_at = None
        self.outcome = None
        self.complete = False


async def send(gateway, record, id, requests):
    request = Request(id)
    requests.append(request)
    headers = {
        "Attempt-Id": id,
        "Model": "m",
        "Token-Usage": "3000,936",
        "Prompt-Prefix": f"5c1e07a2:79,{id}:2921",
        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    connection = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    request.sent_at = time.monotonic()
    record(f"client sends {id}")
    try:
        status, _, body = await world.request(
            gateway.front, "POST", "/digest/x", headers, b"p" * 3000, connection
        )
        request.outcome, request.complete = f"{status}, {len(body)} bytes", True
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        request.outcome = f"no complete answer: {exc!r}"
    finally:
        connection[1].close()
    request.ended_at = time.monotonic()
    record(f"client got for {id} after {request.ended_at - request.sent_at:.2f} s: {request.outcome}")


def is_lost(request, engine, stopped_at):
    """LOST around a SIGTERM, with the rule's excuses."""
    if request.complete or stopped_at is None or request.sent_at is None:
        return False
    if not stopped_at <= request.ended_at <= stopped_at + GRACE_S + 1:
        return False
    passed_on = bool(engine.runs_by_id.get(request.id))
    if not passed_on and request.ended_at - request.sent_at <= LOSS_SLACK_S:
        return False
    if request.ended_at - request.sent_at >= min(DEADLINE_S, ROUTE_TIMEOUT_S):
        return False
    if passed_on:
        # The engine may have been at work in the last sixth of the grace.
        worked_until = engine.worked_until_by_id.get(request.id, float("inf"))
        sent_early = request.sent_at <= stopped_at + 3
        if sent_early and worked_until >= stopped_at + GRACE_S * 5 / 6:
            return False
    return True


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    engine_traits = {
        "slots": 24,
        "kvCapacity": 34239,
        "kvTokenBytes": 163840,
        "linkMbps": 24000.0,
        "stride": 4,
        "moves": True,
        "backups": True,
    }
    service = {"name": "lm", "maxConns": 252, "engine": engine_traits}
    route = world.route(
        "digest", "lm", "stream", timeout_ms=39000, goal_ms=1800, gapGoalMs=180, priority=0
    )
    store.write("config", "main", world.configuration(1, [route], [service]))
    engine = world.ModelEngine(store, record, "i-1", "lm", slots=24)
    await engine.start()
    engine.register()
    gateway = world.Gateway(folder, record, "front-1", store)
    gateway.start()
    heartbeats = asyncio.create_task(beat(engine))
    requests, stopped_at = [], None
    try:
        await gateway.wait_ready()
        # The engine's memory holds some eight of these; they take ten seconds each.
        first = [
            asyncio.create_task(send(gateway, record, f"a{number:015x}", requests))
            for number in range(14)
        ]
        await asyncio.sleep(4)
        later = [
            asyncio.create_task(send(gateway, record, f"b{number:015x}", requests))
            for number in range(16)
        ]
        await asyncio.sleep(1)
        if trouble:
            stopped_at = time.monotonic()
            gateway.signal(signal.SIGTERM)
            await gateway.wait_end(GRACE_S)
        await asyncio.wait([*first, *later], timeout=45)
    finally:
        heartbeats.cancel()
        gateway.end()
        engine.stop()
        store.stop()
    if not any(request.complete for request in requests):
        raise world.CannotRunError("no request was answered")
    lost = [request for request in requests if is_lost(request, engine, stopped_at)]
    for request in lost:
        runs = len(engine.runs_by_id.get(request.id, ()))
        record(f"LOST: {request.id}, runs at the engine: {runs}, {request.outcome}")
    return f"LOST: {len(lost)} requests ended without an answer" if lost else ""


async def beat(engine):
    while True:
        await asyncio.sleep(1.2)
        engine.register()


world.main(case, FOLDER)
