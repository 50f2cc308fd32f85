"""Slopes of control state and work in one daemon, for docs/CAPACITY.md.

Measures, in this process with tracemalloc and process CPU time:
- memory per endpoint record in a gateway's membership view, and CPU per observed renewal;
- CPU per routing decision (``MembershipView.live`` plus ``Router.choose``) as endpoints grow;
- memory per (measure, account, class) latency histogram;
- bytes of one lease renewal body.

Usage: python benchmarks/control_cost.py
"""

import json
import time
import tracemalloc

from twisted.internet.task import Clock

from guavacleat.membership import EndpointRecord, MembershipView
from guavacleat.metrics import LatencyBook
from guavacleat.routing import Router

SIZES = (100, 1000, 4000)
HISTOGRAM_KEYS = 300
ROUTING_CALLS = 200


def record(n: int, services: int = 10) -> dict:
    return EndpointRecord(
        f"endpoint-{n:05d}", f"service-{n % services}", "dc-1", f"10.0.{n // 250}.{n % 250}:9090"
    ).to_json()


def memory_of(build) -> int:
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    kept = build()
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    del kept
    return sum(stat.size_diff for stat in after.compare_to(before, "filename"))


def cpu_of(work, repeat: int) -> float:
    start = time.process_time()
    for _ in range(repeat):
        work()
    return (time.process_time() - start) / repeat


def membership_rows():
    for size in SIZES:
        clock = Clock()
        view = MembershipView(clock)
        records = [record(n) for n in range(size)]

        def fill(view=view, records=records):
            for body in records:
                view.observe(body)
            return view

        per_record = memory_of(fill) / size
        observe = cpu_of(lambda view=view, records=records: view.observe(records[7]), 2000)
        router = Router()
        route = cpu_of(
            lambda view=view, router=router: router.choose(view.live("service-3"), "a b c", 32),
            ROUTING_CALLS,
        )
        yield size, per_record, observe, route


def main():
    print("endpoints  bytes/record  observe us  route us")
    for size, per_record, observe, route in membership_rows():
        print(f"{size:9}  {per_record:12.0f}  {observe * 1e6:10.1f}  {route * 1e6:8.1f}")
    book = LatencyBook()

    def fill_book():
        for n in range(HISTOGRAM_KEYS):
            book.record("gap", f"account-{n}", "standard", 0.02)
        return book

    per_key = memory_of(fill_book) / HISTOGRAM_KEYS
    print(f"latency histogram: {per_key:.0f} bytes per (measure, account, class) key")
    print(f"lease renewal body: {len(json.dumps({'value': record(1), 'expected_version': 9}))} B")


if __name__ == "__main__":
    main()
