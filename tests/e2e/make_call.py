"""Makes one call of an address and prints what came of it, as JSON.

Usage: make_call.py CLIENT ADDRESS; the client is ``pooled`` (gateways' calls of endpoints and of
the store) or ``engine`` (the sidecar's of its engine).
"""

import json
import resource
import sys
import time

from twisted.internet import defer, task

from guavacleat.http1.calls import call
from guavacleat.http1.pool import ConnectionPool
from guavacleat.sidecar.engine_client import EngineClient

TIMEOUT_SECONDS = 3.0


def peak_bytes():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


async def call_pooled(reactor, address):
    host, port = address.split(":")
    endpoint = host, int(port)
    pool = ConnectionPool(reactor)
    response = await call(
        reactor, pool, endpoint, b"GET", b"/-/report", [], b"", timeout=TIMEOUT_SECONDS
    )
    return response.code


async def call_engine(reactor, address):
    del reactor
    return await EngineClient(f"http://{address}").load()


async def main(reactor, client, address):
    make_call = {"pooled": call_pooled, "engine": call_engine}[client]
    memory, processor, started_at = peak_bytes(), time.process_time(), time.monotonic()
    try:
        outcome = await make_call(reactor, address)
    except Exception as exc:  # noqa: BLE001 - the outcome is what is examined
        outcome = exc.__class__.__name__
    print(
        json.dumps(
            {
                "outcome": outcome,
                "bytes": peak_bytes() - memory,
                "processor_seconds": time.process_time() - processor,
                "seconds": time.monotonic() - started_at,
            }
        )
    )


task.react(lambda reactor, *args: defer.ensureDeferred(main(reactor, *args)), sys.argv[1:])
