"""Cost of control state, work and traffic in one daemon, by size; see docs/CAPACITY.md.

Measures, in this process with tracemalloc and process CPU time:
- memory per endpoint record in a gateway's membership view, and CPU per observed renewal;
- CPU per routing decision by number of endpoints, and per dispatch by number of waiting accounts;
- CPU of a sidecar's occupancy report and admission check by number of streams;
- memory per (measure, account, class) latency histogram;
- bytes of one lease renewal body and of one digest poll.

Usage: python benchmarks/control_cost.py
"""

import json
import time
import tracemalloc

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
from twisted.internet.task import Clock

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.config.model import Limits
from guavacleat.membership import EndpointRecord, MembershipView
from guavacleat.metrics import LatencyHistograms
from guavacleat.protocol.gen.sidecar.ttypes import CacheEvent, Digest, Occupancy
from guavacleat.routing import get_router_by_name
from guavacleat.sidecar.handler import MAX_DIGEST_EVENTS
from guavacleat.sidecar.occupancy import EngineOccupancy, RunningStream
from guavacleat.streams import CompletionRequest

SIZES = (100, 1000, 4000, 12000)
ACCOUNT_COUNTS = (10, 100, 1000, 4000)
STREAM_COUNTS = (8, 24, 96)
SERVICES = 10
HISTOGRAM_KEYS = 300
CALLS = 200
DIGEST_EVENTS = MAX_DIGEST_EVENTS
LIMITS = Limits(queue_per_account=10, in_flight_per_endpoint=64, retry_after=1.0, max_wait=1e9)
LOW_OCCUPANCY = Occupancy(4, 24, 10_000, 12_000, 34_000, 100, 500)
FULL_OCCUPANCY = Occupancy(24, 24, 34_000, 34_000, 34_000, 100, 500)


def record(n: int) -> dict:
    address = f"10.0.{n // 250}.{n % 250}:9090"
    return EndpointRecord(f"endpoint-{n:05d}", f"service-{n % SERVICES}", "dc-1", address).to_json()


def request(n: int, account: str = "a") -> CompletionRequest:
    prompt = f"{n} " * 400
    return CompletionRequest(f"r{n}", "service-3", account, "c", 5, prompt, 500, None, 0.0)


def measure_memory(build) -> int:
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    kept = build()
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    del kept
    return sum(stat.size_diff for stat in after.compare_to(before, "filename"))


def measure_cpu(work, repeat: int) -> float:
    start = time.process_time()
    for _ in range(repeat):
        work()
    return (time.process_time() - start) / repeat


def build_view(size: int) -> MembershipView:
    view = MembershipView(Clock(), owner="gateway")
    for n in range(size):
        view.observe(record(n))
    return view


def routing_rows():
    for size in SIZES:
        per_record = measure_memory(lambda size=size: build_view(size)) / size
        view = build_view(size)
        renewal = record(7)
        observe = measure_cpu(lambda view=view, renewal=renewal: view.observe(renewal), 2000)
        router = get_router_by_name("cache-load", view.clock)
        for name in view.records_by_name:
            router.observe(name, LOW_OCCUPANCY)
        call = request(0)
        call.blocks()
        route = measure_cpu(
            lambda view=view, router=router, call=call: router.choose(
                view.live("service-3"), call, 64
            ),
            CALLS,
        )
        yield size, per_record, observe, route


def dispatch_rows():
    """Yield CPU times to queue and to dispatch a request, by number of waiting accounts."""
    for accounts in ACCOUNT_COUNTS:
        view = build_view(100)
        router = get_router_by_name("cache-load", view.clock)
        dispatcher = Dispatcher(view.clock, view, router)
        for name in view.records_by_name:
            router.observe(name, FULL_OCCUPANCY)
        waiting = [request(n, f"account-{n % accounts}") for n in range(2 * accounts)]
        start = time.process_time()
        for call in waiting:
            dispatcher.acquire(call, LIMITS)
        queued = (time.process_time() - start) / len(waiting)
        for name in view.records_by_name:
            router.observe(name, LOW_OCCUPANCY)
        start = time.process_time()
        dispatcher.dispatch_waiting("service-3")
        dispatched = 2 * accounts - len(dispatcher.queues_by_service["service-3"])
        yield accounts, queued, (time.process_time() - start) / max(1, dispatched)


def occupancy_rows():
    for streams in STREAM_COUNTS:
        occupancy = EngineOccupancy()
        occupancy.set_limits(1_000_000, 2 * streams)
        for n in range(streams):
            occupancy.add(str(n), RunningStream(("s", 5), 1000 + n, 2000, n))
        candidate = RunningStream(("s", 5), 1000, 2000)
        emitted = iter(range(100, 10_000_000))

        def report(occupancy=occupancy, emitted=emitted):
            occupancy.record_emitted("0", next(emitted))
            occupancy.report()

        fits = measure_cpu(
            lambda occupancy=occupancy, candidate=candidate: occupancy.fits(candidate), CALLS
        )
        yield streams, measure_cpu(report, CALLS), fits


def digest_bytes() -> int:
    """Return the encoded size of a digest with ``DIGEST_EVENTS`` cache events."""
    events = [CacheEvent(n, True, "0123456789abcdef") for n in range(DIGEST_EVENTS)]
    buffer = TTransport.TMemoryBuffer()
    Digest(LOW_OCCUPANCY, events).write(TBinaryProtocol.TBinaryProtocol(buffer))
    return len(buffer.getvalue())


def main():
    print("endpoints  bytes/record  observe us  route us")
    for size, per_record, observe, route in routing_rows():
        print(f"{size:9}  {per_record:12.0f}  {observe * 1e6:10.1f}  {route * 1e6:8.1f}")
    print("accounts waiting  queue us  dispatch us")
    for accounts, queued, dispatched in dispatch_rows():
        print(f"{accounts:16}  {queued * 1e6:8.1f}  {dispatched * 1e6:11.1f}")
    print("streams  report us  fits us")
    for streams, report, fits in occupancy_rows():
        print(f"{streams:7}  {report * 1e6:9.1f}  {fits * 1e6:7.1f}")
    latencies = LatencyHistograms()

    def fill_latencies():
        for n in range(HISTOGRAM_KEYS):
            latencies.record("gap", f"account-{n}", "standard", 0.02)
        return latencies

    per_key = measure_memory(fill_latencies) / HISTOGRAM_KEYS
    print(f"latency histogram: {per_key:.0f} bytes per (measure, account, class) key")
    print(f"lease renewal body: {len(json.dumps({'value': record(1), 'expected_version': 9}))} B")
    print(f"digest with {DIGEST_EVENTS} cache events: {digest_bytes()} B")


if __name__ == "__main__":
    main()
