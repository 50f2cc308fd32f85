"""CPU, memory and control traffic of an idle gateway process, by number of endpoints.

Starts the store stand-in in this process and a gateway in a separate one; this process renews N
endpoint records per second, as N sidecars would. The records' thrift ports are closed, so each
digest poll costs a refused connection. Prints, per N, the gateway's CPU share and memory from /proc
and its store traffic from /status, over SECONDS.

Usage: python benchmarks/control_traffic.py [N ...]
"""

import json
import os
import subprocess
import sys

import treq
from twisted.internet import defer, reactor, task
from twisted.web.server import Site

from guavacleat.ctl import apply_settings
from guavacleat.membership import EndpointRecord
from guavacleat.standin.listener import HttpListener
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.standin.system import EXAMPLES, LOOPBACK
from guavacleat.store import StoreClient

SIZES = (10, 100, 300)
SECONDS = 8.0
WARM_UP_SECONDS = 3.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def record(n: int) -> EndpointRecord:
    return EndpointRecord(f"enquiry-lm-{n}", "enquiry-lm", "nasr-a", f"{LOOPBACK}:1", session="s")


def renew(state: StoreState, records: list[EndpointRecord]) -> None:
    for endpoint in records:
        endpoint.beat += 1
        current = state.get("endpoints", endpoint.name)
        version = current.version if current else 0
        state.put("endpoints", endpoint.name, endpoint.to_json(), version)


def cpu_seconds(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = dict(line.split(":", 1) for line in file)
    return int(lines["VmRSS"].split()[0]) / 1024


@defer.inlineCallbacks
def measure(size: int):
    state = StoreState(reactor)
    store = HttpListener(reactor, Site(StoreApp(state).resource()), (LOOPBACK, 0))
    store.startService()
    yield apply_settings(StoreClient(store.url()), str(EXAMPLES / "nile.json5"))
    renewing = task.LoopingCall(renew, state, [record(n) for n in range(size)])
    renewing.start(1.0)
    gateway = subprocess.Popen(
        [sys.executable, "-m", "guavacleat", "gateway", f"--store={store.url()}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        yield task.deferLater(reactor, WARM_UP_SECONDS)
        address = gateway.stdout.readline().split()[-1]
        before, cpu = (yield status(address)), cpu_seconds(gateway.pid)
        yield task.deferLater(reactor, SECONDS)
        after, spent = (yield status(address)), cpu_seconds(gateway.pid) - cpu
        calls = sum(after["store_calls"].values()) - sum(before["store_calls"].values())
        read = after["store_bytes"] - before["store_bytes"]
        print(
            f"{size:9}  {100 * spent / SECONDS:6.1f}  {memory_mb(gateway.pid):6.1f}"
            f"  {calls / SECONDS:13.1f}  {read / SECONDS / 1000:10.1f}",
            flush=True,
        )
    finally:
        gateway.terminate()
        gateway.wait(timeout=10)
        renewing.stop()
        yield store.stopService()


@defer.inlineCallbacks
def status(address: str):
    response = yield treq.get(f"{address}/status")
    body = yield response.content()
    return json.loads(body)


@defer.inlineCallbacks
def main(_reactor):
    print("endpoints   cpu %  RSS MB  store calls/s  store kB/s")
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        yield measure(size)


if __name__ == "__main__":
    task.react(main)
