"""Streams that wait in the gateway's queue when it is stopped."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

DEADLINE_S = 39.0


async def send(gateway, record, id, attempts):
    attempt = lost.Attempt(id, DEADLINE_S)
    attempts.append(attempt)
    headers = {
        "Model": "m",
        "Token-Usage": "3000,936",
        "Prompt-Prefix": f"5c1e07a2:79,{id}:2921",
    }
    connection = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    await lost.send(record, attempt, connection, "/digest/x", headers, b"p" * 3000)
    connection[1].close()


def send_all(gateway, record, letter, count, attempts):
    return [
        asyncio.create_task(send(gateway, record, f"{letter}{number:015x}", attempts))
        for number in range(count)
    ]


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
    heartbeats = asyncio.create_task(engine.beat())
    attempts, stopped_at = [], None
    try:
        await gateway.wait_ready()
        # The engine's memory holds some eight of these; they take ten seconds each.
        first = send_all(gateway, record, "a", 14, attempts)
        await asyncio.sleep(4)
        later = send_all(gateway, record, "b", 16, attempts)
        await asyncio.sleep(1)
        if trouble:
            stopped_at = time.monotonic()
            gateway.signal(signal.SIGTERM)
            await gateway.wait_end(lost.GRACE_S)
        await asyncio.wait([*first, *later], timeout=45)
    finally:
        heartbeats.cancel()
        gateway.end()
        engine.stop()
        store.stop()
    return lost.report(record, attempts, engine, stopped_at)


world.main(case, FOLDER)
