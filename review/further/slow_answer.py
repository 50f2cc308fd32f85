"""Long answers to idempotent requests that take more than three times the latency goal."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

DEADLINE_S = 8.0
CLIENTS = 8
ANSWER_BYTES = 1_000_000
PARTS = 20
# How long the engine takes to write an answer; srv_slow makes it eight times as long.
ANSWER_S, SLOWER = 0.2, 8


class SlowEngine(world.Engine):
    async def run(self, id, target, writer):
        fields = {
            "Attempt-Id": id,
            "Response-Seal": f"seal.{id}",
            "Content-Length": ANSWER_BYTES,
        }
        writer.write(world.encode_head("HTTP/1.1 200 OK", fields))
        for _ in range(PARTS):
            writer.write(b"x" * (ANSWER_BYTES // PARTS))
            await writer.drain()
            await asyncio.sleep(self.work_s / PARTS)


async def send(gateway, record, attempt):
    connection = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    await lost.send(record, attempt, connection, "/lookup/x", {}, b"")
    connection[1].close()


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    routes = [world.route("lookup", "svc", "idempotent", timeout_ms=8000, goal_ms=300, attempts=2)]
    service = {"name": "svc", "maxConns": 110}
    store.write("config", "main", world.configuration(1, routes, [service]))
    work_s = ANSWER_S * (SLOWER if trouble else 1)
    engines = [
        SlowEngine(store, record, f"i-{number}", "svc", slots=6, work_s=work_s)
        for number in range(2)
    ]
    for engine in engines:
        await engine.start()
        engine.register()
    gateway = world.Gateway(folder, record, "front-1", store)
    gateway.start()
    try:
        await gateway.wait_ready()
        attempts = [lost.Attempt(f"a{number:015x}", DEADLINE_S) for number in range(CLIENTS)]
        await asyncio.gather(*(send(gateway, record, attempt) for attempt in attempts))
    finally:
        gateway.end()
        for engine in engines:
            engine.stop()
        store.stop()
    cut = [attempt for attempt in attempts if attempt.status is None]
    if len(cut) > 3:
        return f"LOST: {len(cut)} connections were closed without a complete answer"
    return ""


world.main(case, FOLDER, "slow_answer.txt")
