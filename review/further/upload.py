"""Requests whose last bytes arrive while a stopped gateway ends."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

DEADLINE_S = 1.5
# The last bytes of the uploads, in pairs, from this many seconds after the SIGTERM.
FIRST_END_S, PAIR_INTERVAL_S, PAIRS = 2.8, 0.04, 50


async def send(gateway, record, attempt, ends_at):
    connection = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    await lost.send(record, attempt, connection, "/connect/x", {}, b"c" * 600, 300, ends_at)
    connection[1].close()


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    routes = [world.route("connect", "svc", "non_idempotent", timeout_ms=1500)]
    service = {"name": "svc", "maxConns": 110}
    store.write("config", "main", world.configuration(1, routes, [service]))
    engine = world.Engine(store, record, "i-1", "svc", slots=6, work_s=0.0225)
    await engine.start()
    engine.register()
    heartbeats = asyncio.create_task(engine.beat())
    gateway = world.Gateway(folder, record, "front-1", store)
    gateway.start()
    stopped_at = None
    try:
        await gateway.wait_ready()
        began = time.monotonic()
        attempts = [lost.Attempt(f"a{number:015x}", DEADLINE_S) for number in range(2 * PAIRS)]
        sends = [
            asyncio.create_task(
                send(gateway, record, attempt, began + FIRST_END_S + number // 2 * PAIR_INTERVAL_S)
            )
            for number, attempt in enumerate(attempts)
        ]
        await asyncio.sleep(0.05)
        if trouble:
            stopped_at = time.monotonic()
            gateway.signal(signal.SIGTERM)
            await gateway.wait_end(lost.GRACE_S)
        await asyncio.wait(sends)
    finally:
        heartbeats.cancel()
        gateway.end()
        engine.stop()
        store.stop()
    # A request that the process had not read whole doesn't count.
    passed_on = [attempt for attempt in attempts if attempt.id in engine.runs_by_id]
    return lost.report(record, passed_on, engine, stopped_at)


world.main(case, FOLDER, "upload.txt")
