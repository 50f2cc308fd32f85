"""A gateway that starts while engines are cold, and learns of them before its configuration."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import lost  # noqa: E402
import world  # noqa: E402

COLD_START_S = 6.0
COLD_PER_S = 8
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
# A cold engine tolerates COLD_PER_S and crashes at a rate well above; the stand-in bears more than
# the rule allows.
CRASH_PER_S = 1.5 * BOUND
WORK_S = 0.07
DEADLINE_S = 1.5
REQUESTS_PER_S = 60
TRAFFIC_S = 8.0
# The configuration has grown by many routes, and the gateway's link has 10 Mbit/s.
ROUTES = 1400
LINK_BYTES_PER_S = 10e6 / 8


class ColdEngine(world.Engine):
    """Comes back cold, says so in its entry, and crashes at a rate well above what it tolerates."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # (clock time, id) of the requests that arrived while it was cold.
        self.cold_arrivals = []
        self.cut_ids = []
        self.running_ids = set()
        self.heartbeats = None

    def restart_cold(self):
        """Come back under the same id."""
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + COLD_START_S
        self.record(f"engine {self.id} is back, cold for {COLD_START_S} s")
        self.register()

    def crash(self):
        self.cut_ids = sorted(self.running_ids)
        self.record(f"engine {self.id} crashes, {len(self.cut_ids)} requests running")
        self.heartbeats.cancel()
        self.stop()

    async def run(self, id, target, writer):
        now = time.monotonic()
        self.running_ids.add(id)
        if now < self.cold_until:
            self.cold_arrivals.append((now, id))
            recent = [at for at, _ in self.cold_arrivals if at > now - 1]
            if len(recent) > CRASH_PER_S and not self.cut_ids:
                self.crash()
        try:
            await super().run(id, target, writer)
        finally:
            self.running_ids.discard(id)


async def send(gateway, record, attempt):
    try:
        opening = asyncio.open_connection(*gateway.front, limit=world.READ_LIMIT)
        connection = await asyncio.wait_for(opening, 1)
    except (TimeoutError, OSError):
        attempt.outcome = "no connection"
        return
    try:
        sending = lost.send(record, attempt, connection, "/connect/x", {}, b"c" * 600)
        await asyncio.wait_for(sending, DEADLINE_S + 0.5)
    except TimeoutError:
        attempt.outcome = "no answer"
    finally:
        connection[1].close()


def most_in_one_second(engine, attempts_by_id):
    """Most requests that were sent, and arrived at the cold engine, inside one second."""
    counts = [0]
    for first, id in engine.cold_arrivals:
        window = min(first, attempts_by_id[id].sent_at)
        counts.append(
            sum(
                attempts_by_id[other].sent_at >= window and at <= window + 1
                for at, other in engine.cold_arrivals
            )
        )
    return max(counts)


async def case(record, folder, trouble):
    store = world.Store(LINK_BYTES_PER_S)
    await store.start()
    routes = [world.route("connect", "svc", "non_idempotent", timeout_ms=1500)]
    routes += [world.route(f"more{number}", "svc", "idempotent") for number in range(ROUTES)]
    service = {"name": "svc", "maxConns": 230, "coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
    store.write("config", "main", world.configuration(1, routes, [service]))
    engines = [
        ColdEngine(store, record, f"i-{number}", "svc", slots=6, work_s=WORK_S)
        for number in range(2)
    ]
    for number, engine in enumerate(engines):
        await engine.start()
        engine.heartbeats = asyncio.create_task(engine.beat(number * world.HEARTBEAT_S / 2))
        engine.register()
    bounds = {"bounds.coldOvershoot": COLD_OVERSHOOT, "bounds.coldSlack": COLD_SLACK}
    gateway = world.Gateway(folder, record, "front-1", store, **bounds)
    gateway.start()
    attempts_by_id, sends = {}, []
    try:
        await gateway.wait_ready()
        steps = [(1.0, restart_engines)]
        if trouble:
            steps += [(1.2, kill), (1.5, start)]
        began = time.monotonic()
        for number in range(int(TRAFFIC_S * REQUESTS_PER_S)):
            at = number / REQUESTS_PER_S
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            while steps and at >= steps[0][0]:
                steps.pop(0)[1](gateway, engines)
            attempt = lost.Attempt(f"c{number:015x}", DEADLINE_S)
            attempts_by_id[attempt.id] = attempt
            sends.append(asyncio.create_task(send(gateway, record, attempt)))
        await asyncio.wait(sends)
    finally:
        gateway.end()
        for engine in engines:
            engine.heartbeats.cancel()
            engine.stop()
        store.stop()
    return report(record, engines, attempts_by_id)


def restart_engines(gateway, engines):
    del gateway
    for engine in engines:
        engine.restart_cold()


def kill(gateway, engines):
    del engines
    gateway.signal(signal.SIGKILL)
    gateway.process.wait()


def start(gateway, engines):
    del engines
    gateway.start()


def report(record, engines, attempts_by_id):
    """Check FAILBACK: it counts for all machines, in touch or not."""
    if not any(attempt.status == 200 for attempt in attempts_by_id.values()):
        raise world.CannotRunError("no request was answered")
    broken = []
    for engine in engines:
        most = most_in_one_second(engine, attempts_by_id)
        record(f"engine {engine.id}: at most {most} requests in one second, bound {BOUND:g}")
        for id in engine.cut_ids:
            record(f"engine {engine.id} crashed under {id}: {attempts_by_id[id].outcome}")
        if most > BOUND:
            broken.append(f"{engine.id} got {most} requests in one second")
    return f"FAILBACK: {', '.join(broken)}; bound {BOUND:g}" if broken else ""


world.main(case, FOLDER, "failback.txt")
