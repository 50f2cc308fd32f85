"""Requests on connections to an engine that a long answer left paused."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

# The sizes of the long answers, one for each client.
REPORT_BYTES = range(266_000, 326_000, 2_000)
CONNECT_BYTES = 800
CLIENTS = len(REPORT_BYTES)
REPORT_DEADLINE_S = 5.0
CONNECT_DEADLINE_S = 15.0


class ReportEngine(world.Engine):
    """Answers with a long body on one route, and a short one on the other."""

    def answer_size(self, target):
        return int(target.split("/")[-1]) if target.startswith("/report/") else CONNECT_BYTES


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    routes = [
        world.route("report", "svc", "non_idempotent", timeout_ms=20000),
        world.route("connect", "svc", "non_idempotent", timeout_ms=20000),
    ]
    service = {"name": "svc", "maxConns": 110}
    store.write("config", "main", world.configuration(1, routes, [service]))
    engine = ReportEngine(store, record, "i-1", "svc", slots=32)
    await engine.start()
    engine.register()
    gateway = world.Gateway(folder, record, "front-1", store)
    gateway.start()
    heartbeats = asyncio.create_task(engine.beat())
    stopped_at = None
    try:
        await gateway.wait_ready()
        connections = [
            await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
            for _ in range(CLIENTS)
        ]
        reports = [lost.Attempt(f"a{n:015x}", REPORT_DEADLINE_S) for n in range(CLIENTS)]
        await asyncio.gather(
            *(
                lost.send(record, attempt, connection, f"/report/{size}", {}, b"r" * 600)
                for attempt, connection, size in zip(
                    reports, connections, REPORT_BYTES, strict=True
                )
            )
        )
        connects = [lost.Attempt(f"b{n:015x}", CONNECT_DEADLINE_S) for n in range(CLIENTS)]
        sends = [
            asyncio.create_task(
                lost.send(record, attempt, connection, "/connect/x", {}, b"c" * 600)
            )
            for attempt, connection in zip(connects, connections, strict=True)
        ]
        await asyncio.sleep(0.5)
        if trouble:
            stopped_at = time.monotonic()
            gateway.signal(signal.SIGTERM)
            await gateway.wait_end(lost.GRACE_S)
        await asyncio.wait(sends, timeout=CONNECT_DEADLINE_S + 5)
    finally:
        heartbeats.cancel()
        gateway.end()
        engine.stop()
        store.stop()
    return lost.report(record, [*reports, *connects], engine, stopped_at)


world.main(case, FOLDER)
