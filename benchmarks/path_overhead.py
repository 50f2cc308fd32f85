"""Cost per token of the gateway path compared with direct calls to the stand-in engine.

Runs a system on loopback in one process (object store, one engine, one sidecar, one gateway) with
an engine that steps as fast as the reactor allows. Streams the same requests (a) directly from the
engine's HTTP interface and (b) through gateway and sidecar. Prints wall and CPU microseconds per
token for each, and their differences.

Usage: python benchmarks/path_overhead.py [REQUESTS] [CONCURRENCY] [STEP_MICROSECONDS]
"""

import sys
import time

from twisted.internet import defer, task

from guavacleat.load import stream_completion
from guavacleat.sidecar.engine_client import EngineClient
from guavacleat.standin.system import EXAMPLES, LocalSystem

ENGINE_STEP_US = 100
MAX_TOKENS = 400
OUTPUT_LENGTH = 200
READ_WAIT_SECONDS = 1.0


@defer.inlineCallbacks
def stream_direct(engine: EngineClient, n: int) -> int:
    stream_id, _ = yield engine.generate(f"direct-{n}", f"listing {n}", MAX_TOKENS, 0)
    cursor, finished = 0, False
    while not finished:
        batch = yield engine.read(stream_id, cursor, READ_WAIT_SECONDS)
        cursor += len(batch.tokens)
        finished = batch.finished
    return cursor


@defer.inlineCallbacks
def stream_via_gateway(reactor, url: str, n: int) -> int:
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": f"listing {n}",
        "max_tokens": MAX_TOKENS,
    }
    result = yield stream_completion(reactor, url, body)
    return len(result.texts)


@defer.inlineCallbacks
def measure(label, calls, requests, concurrency):
    wall, cpu = time.perf_counter(), time.process_time()
    tokens = 0
    for start in range(0, requests, concurrency):
        counts = yield defer.gatherResults([calls(n) for n in range(start, start + concurrency)])
        tokens += sum(counts)
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    print(
        f"{label:8} {tokens:6} tokens  wall {wall / tokens * 1e6:7.1f} us/token"
        f"  cpu {cpu / tokens * 1e6:7.1f} us/token"
    )
    return wall / tokens, cpu / tokens


@defer.inlineCallbacks
def main(reactor, requests=200, concurrency=8, step_us=ENGINE_STEP_US):
    system = LocalSystem(
        reactor,
        EXAMPLES / "nile.json5",
        {"enquiry-lm-1": "enquiry-lm", "switchboard-1": "switchboard"},
        engine_settings={
            "step_seconds": step_us / 1e6,
            "max_batch": 64,
            "output_length": OUTPUT_LENGTH,
        },
    )
    yield system.start()
    sidecar = next(part for part in system if getattr(part, "name", None) == "enquiry-lm-1")
    engine = EngineClient(sidecar.handler.engine.base_url)
    direct_wall, direct_cpu = yield measure(
        "direct", lambda n: stream_direct(engine, n), requests, concurrency
    )
    url = system.completions_url()
    gateway_wall, gateway_cpu = yield measure(
        "gateway", lambda n: stream_via_gateway(reactor, url, n), requests, concurrency
    )
    print(
        f"overhead wall {(gateway_wall - direct_wall) * 1e6:7.1f} us/token"
        f"  cpu {(gateway_cpu - direct_cpu) * 1e6:7.1f} us/token"
        f"  (ratio cpu {gateway_cpu / direct_cpu:.2f})"
    )
    yield system.stopService()


if __name__ == "__main__":
    args = [int(arg) for arg in sys.argv[1:4]]
    task.react(main, args)
