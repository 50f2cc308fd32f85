"""Memory, report size and CPU time of a gateway's crash tracking, filled to its limits.

Usage: python benchmarks/quarantine_cost.py
"""

import time
import tracemalloc

from twisted.internet.task import Clock

from guavacleat.peers.crashes import CrashGossip
from guavacleat.peers.report import GatewayReport, encode_report
from guavacleat.quarantine import CrashTracker, fingerprint
from guavacleat.quarantine.tracker import MAX_CLEARANCES, MAX_CRASHES, MAX_FINGERPRINTS_PER_CRASH

REPEATS = 2000
BODY = b"x" * 4096


def fill(tracker: CrashTracker, clock: Clock) -> None:
    """Fill to the limits: separate crashes, with one request in flight at three of them."""
    for number in range(MAX_CRASHES):
        requests = range(
            number * MAX_FINGERPRINTS_PER_CRASH, (number + 1) * MAX_FINGERPRINTS_PER_CRASH
        )
        for request in (*(-1,) * (number < 3), *requests):
            crash = tracker.request_interrupted(f"i-{number:010}", request)
        tracker.confirm(crash)
        clock.advance(2.0)
    for request in range(MAX_CLEARANCES):
        tracker.merge_completion(10**9 + request, 0.0)


def cpu_us(work) -> float:
    began = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - began) / REPEATS * 1e6


def main() -> None:
    clock = Clock()
    tracker = CrashTracker(clock)
    tracemalloc.start()
    fill(tracker, clock)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gossip = CrashGossip(clock, tracker)
    message = gossip.build_message(1e9, include_remote=True, include_quarantined=True)
    empty = len(encode_report(GatewayReport("g1", 1, 1, {})))
    full = len(encode_report(GatewayReport("g1", 1, 1, {}, crashes=message)))
    print(
        f"tracker at its limits: {memory / 1024:.0f} KB; crashes in a report: {full - empty} bytes"
    )
    print(f"status of an unknown request: {cpu_us(lambda: tracker.status(-2)):.1f} us")
    print(f"status of a suspect: {cpu_us(lambda: tracker.status(-1)):.1f} us")
    print(f"message: {cpu_us(lambda: gossip.build_message(1e9, True, True)):.0f} us")
    print(f"fingerprint of a body of {len(BODY)} bytes: {cpu_us(lambda: fingerprint(BODY)):.1f} us")


if __name__ == "__main__":
    main()
