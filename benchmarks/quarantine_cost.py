"""Memory, bytes and CPU of what a gateway knows of requests that crash endpoints, at its bounds.

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


def fill(book: CrashTracker, clock: Clock) -> None:
    """A book at its bounds: ends far apart, one request in flight at three of them."""
    for number in range(MAX_CRASHES):
        requests = range(
            number * MAX_FINGERPRINTS_PER_CRASH, (number + 1) * MAX_FINGERPRINTS_PER_CRASH
        )
        for request in (*(-1,) * (number < 3), *requests):
            end = book.request_interrupted(f"i-{number:010}", request)
        book.confirm(end)
        clock.advance(2.0)
    for request in range(MAX_CLEARANCES):
        book.merge_completion(10**9 + request, 0.0)


def micros(work) -> float:
    began = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - began) / REPEATS * 1e6


def main() -> None:
    clock = Clock()
    book = CrashTracker(clock)
    tracemalloc.start()
    fill(book, clock)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    news = CrashGossip(clock, book)
    told = news.build_message(1e9, include_remote=True, include_quarantined=True)
    empty = len(encode_report(GatewayReport("g1", 1, 1, {})))
    full = len(encode_report(GatewayReport("g1", 1, 1, {}, crashes=told)))
    print(f"book at its bounds: {memory / 1024:.0f} KB; a report: {full - empty} bytes of crashes")
    print(f"standing of an unknown request: {micros(lambda: book.status(-2)):.1f} us")
    print(f"standing of a suspect: {micros(lambda: book.status(-1)):.1f} us")
    print(f"message: {micros(lambda: news.build_message(1e9, True, True)):.0f} us")
    print(f"fingerprint of a body of {len(BODY)} bytes: {micros(lambda: fingerprint(BODY)):.1f} us")


if __name__ == "__main__":
    main()
