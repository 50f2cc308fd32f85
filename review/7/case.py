"""DRAIN: after a watch was cut off, an engine whose entry is removed gets requests for too long."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import standins as s  # noqa: E402

ENGINES = ("a7f3", "b02d", "c951", "d6e8")
REQUESTS_PER_SECOND = 80
SECONDS = 12
CUT_AFTER_SECONDS = 5.0
# "A little longer": how long the engine serves on after drainMs.
LONGER_SECONDS = 0.25
WORK_SECONDS = 0.09
SEED = 69


class Removal:
    """Cuts one waiting watch of the engines' entries; then one engine's entry is removed."""

    def __init__(self, store, engine, record):
        self.store = store
        self.engine = engine
        self.record = record
        self.removed_at = None
        self.connection = None
        self.cut = False
        store.on_watch = self.watch_begins

    def watch_begins(self, connection, kind):
        if kind != "servers":
            return
        self.connection = connection
        if self.cut and self.removed_at is None:
            self.removed_at = float("inf")
            asyncio.ensure_future(self._remove())

    async def run(self):
        await asyncio.sleep(CUT_AFTER_SECONDS)
        while self.connection.notes.get("watch") != "servers":
            await asyncio.sleep(0.01)
        self.record("store: the watch of servers is cut off while it waits")
        self.cut = True
        self.connection.writer.close()

    async def _remove(self):
        """The engine leaves without reporting that it drains."""
        await asyncio.sleep(0.02)
        await self.store.delete("servers", self.engine.id)
        self.removed_at = time.monotonic()
        await asyncio.sleep(s.DRAIN_SECONDS + LONGER_SECONDS)
        self.record(f"{self.engine.id} ends")
        self.engine.end()

    def late_arrivals(self):
        return [
            (id, at - self.removed_at)
            for at, id in self.engine.arrivals
            if self.removed_at is not None and at - self.removed_at > s.DRAIN_SECONDS
        ]


async def main(record, temporary, processes):
    store = await s.Store("127.0.0.1", record).start()
    engines = [
        await s.PlainEngine(
            "127.0.0.1", f"i-{name}", "switchboard", "nasr-a", record, work=WORK_SECONDS
        ).start()
        for name in ENGINES
    ]
    await store.write("config", "main", s.configuration())
    for engine in engines:
        await store.write("servers", engine.id, engine.entry())
    gateway = s.Gateway(1, "nasr-a", store, temporary)
    processes.append(gateway)
    await (await gateway.start()).wait_ready()
    await asyncio.sleep(s.STABILITY_SECONDS)
    removal = Removal(store, engines[0], record)
    if s.TROUBLE:
        trouble = asyncio.ensure_future(removal.run())  # noqa: F841 - kept from collection

    arrivals, calls, began = random.Random(SEED), [], time.monotonic()
    while time.monotonic() - began < SECONDS:
        id = f"{len(calls):016x}"
        calls.append(asyncio.ensure_future(s.call(record, gateway, "/connect/1", id)))
        await asyncio.sleep(arrivals.expovariate(REQUESTS_PER_SECOND))
    answers = await asyncio.gather(*calls)

    late = removal.late_arrivals()
    for id, seconds in late:
        record(f"{id} reached {engines[0].id} {seconds:.3f} s after its entry was removed")
    lost = sum(answer.status not in (200, 503) for answer in answers)
    record(f"{len(answers)} requests, {len(late)} reached the engine late, {lost} were lost")
    return bool(late)


s.run_case(FOLDER, main)
