"""SIGHUPs that reach processes while they start."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import world  # noqa: E402

MACHINES = 2
HANGUPS = 3
# After the start of a process, and until its restart.
HANGUP_AFTER_S, RESTART_AFTER_S = 0.2, 0.5


async def case(record, folder, trouble):
    store = world.Store()
    await store.start()
    routes = [world.route("connect", "svc", "non_idempotent", timeout_ms=1500)]
    service = {"name": "svc", "maxConns": 110}
    store.write("config", "main", world.configuration(1, routes, [service]))
    engine = world.Engine(store, record, "i-1", "svc")
    await engine.start()
    engine.register()
    gateways = [
        world.Gateway(folder, record, f"front-{number}", store) for number in range(MACHINES)
    ]
    ends = [0] * MACHINES
    try:
        for number, gateway in enumerate(gateways):
            for _ in range(HANGUPS):
                gateway.start()
                await asyncio.sleep(HANGUP_AFTER_S)
                if trouble:
                    gateway.signal(signal.SIGHUP)
                await asyncio.sleep(RESTART_AFTER_S)
                if gateway.process.poll() is not None:
                    ends[number] += 1
                    record(f"{gateway.name} ended by itself: {gateway.process.returncode}")
                else:
                    await gateway.wait_ready()
                    break
    finally:
        for gateway in gateways:
            gateway.end()
        engine.stop()
        store.stop()
    if all(count >= 3 for count in ends):
        return f"Fault: processes on {MACHINES} machines ended by themselves {ends} times"
    return ""


world.main(case, FOLDER, "hangup.txt")
