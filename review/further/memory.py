"""Long requests from many clients at once; the platform kills a process above its memory."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

MEMORY_MB = 150
# As many clients as the site has, with bodies of the limit `maxBodyBytes` that take 2 s to send.
CLIENTS, CALM_CLIENTS = 45, 4
BODY_BYTES = 4_194_304
PARTS = 40
UPLOAD_S = 2.0
DEADLINE_S = 8.0


def resident_mb(pid):
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


async def enforce_memory(gateway, record):
    """Kill the process when it exceeds its memory, as the platform does."""
    while gateway.process.poll() is None:
        used = resident_mb(gateway.process.pid)
        if used > MEMORY_MB:
            record(f"the platform kills {gateway.name}: {used:.0f} MB of {MEMORY_MB}")
            gateway.end()
            return True
        await asyncio.sleep(0.02)
    return False


async def upload(gateway, record, attempt):
    reader, writer = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    fields = {
        "Host": "svc.example",
        "Attempt-Id": attempt.id,
        "Deadline-Ms": int(DEADLINE_S * 1000),
        "Content-Length": BODY_BYTES,
    }
    part = b"x" * (BODY_BYTES // PARTS)
    try:
        writer.write(world.encode_head("POST /connect/x HTTP/1.1", fields))
        for sent in range(0, BODY_BYTES, len(part)):
            writer.write(part[: BODY_BYTES - sent])
            await writer.drain()
            await asyncio.sleep(UPLOAD_S / PARTS)
        attempt.sent_at = time.monotonic()
        attempt.status, _, _ = await world.read_answer(reader)
        attempt.outcome = str(attempt.status)
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        attempt.outcome = f"no complete answer, {type(exc).__name__}"
    record(f"client got for {attempt.id}: {attempt.outcome}")
    writer.close()


async def small_request(gateway, record, attempt):
    connection = await asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
    await lost.send(record, attempt, connection, "/connect/x", {}, b"c" * 600)
    connection[1].close()


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    routes = [world.route("connect", "svc", "non_idempotent", timeout_ms=8000)]
    service = {"name": "svc", "maxConns": 110}
    store.write("config", "main", world.configuration(1, routes, [service]))
    engine = world.Engine(store, record, "i-1", "svc", slots=32, work_s=0.5)
    await engine.start()
    engine.register()
    heartbeats = asyncio.create_task(engine.beat())
    gateway = world.Gateway(folder, record, "front-1", store)
    gateway.start()
    try:
        await gateway.wait_ready()
        enforcing = asyncio.create_task(enforce_memory(gateway, record))
        uploads = [
            asyncio.create_task(
                upload(gateway, record, lost.Attempt(f"a{number:015x}", DEADLINE_S))
            )
            for number in range(CLIENTS if trouble else CALM_CLIENTS)
        ]
        small, sends = [], []
        for number in range(30):
            await asyncio.sleep(0.1)
            if gateway.process.poll() is not None:
                break
            small.append(lost.Attempt(f"b{number:015x}", DEADLINE_S))
            sends.append(asyncio.create_task(small_request(gateway, record, small[-1])))
        await asyncio.wait([*uploads, *sends])
    finally:
        heartbeats.cancel()
        gateway.end()
        engine.stop()
        store.stop()
    killed = enforcing.done() and enforcing.result()
    cut = [
        attempt for attempt in small if attempt.status is None and attempt.id in engine.runs_by_id
    ]
    if killed and len(cut) > 3:
        return f"LOST: the process was killed, {len(cut)} requests at the engine got no answer"
    return ""


world.main(case, FOLDER, "memory.txt")
