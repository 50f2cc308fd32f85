"""TWICE: a stream goes on at another engine while the engine that it left still works on it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import standins as s  # noqa: E402

STREAMS = 4
# Whether each engine drops a request when its connection closes; the first one leaves.
ENGINES = (("a7f3", False), ("b02d", True), ("c951", True), ("d6e8", True), ("e41b", True))
PROMPT_TOKENS, OUTPUT_TOKENS = 3000, 936
ALLOWED_SECONDS = 0.4


def overlaps(engines):
    """The runs that were worked on elsewhere: id, the engine left, the next, and for how long."""
    runs = [(engine, run) for engine in engines for run in engine.runs]
    return [
        (old.id, engine.id, next_engine.id, old.worked_until - new.began)
        for engine, old in runs
        for next_engine, new in runs
        if old.id == new.id and engine is not next_engine and old.began < new.began
    ]


async def main(record, temporary, processes):
    store = await s.Store("127.0.0.1", record).start()
    engines = []
    for name, drops in ENGINES:
        engine = s.ModelEngine(
            "127.0.0.1", f"i-{name}", "enquiry-lm", "nasr-a", record, engines=engines, drops=drops
        )
        await engine.start()
    leaving = engines[0]
    await store.write("config", "main", s.configuration())
    await store.write("servers", leaving.id, leaving.entry())
    gateway = s.Gateway(1, "nasr-a", store, temporary)
    processes.append(gateway)
    await (await gateway.start()).wait_ready()
    await asyncio.sleep(s.BUDGET_WINDOW_SECONDS)

    # The streams begin while the first engine is the only one; empty ones are added then.
    calls = []
    for number in range(STREAMS):
        id = f"{number + 1:016x}"
        headers = s.generation_headers(id, PROMPT_TOKENS, OUTPUT_TOKENS)
        call = s.call(record, gateway, "/digest/1", id, headers, deadline_ms=39000)
        calls.append(asyncio.ensure_future(call))
    await asyncio.sleep(1.0)
    for engine in engines[1:]:
        await store.write("servers", engine.id, engine.entry())
    await asyncio.sleep(1.0)
    if s.TROUBLE:
        leaving.draining = True
        await store.write("servers", leaving.id, leaving.entry("draining"))
    answers = await asyncio.gather(*calls)

    found = overlaps(engines)
    for id, old, new, seconds in found:
        record(f"{id} went on at {new}; {old} worked on it for another {seconds:.3f} s")
    record(f"streams: {sum(a.complete for a in answers)} of {len(answers)} complete")
    return any(seconds > ALLOWED_SECONDS for *_, seconds in found)


s.run_case(FOLDER, main)
