"""Cost of the reports that gateways exchange, by number of engines and gateways.

Usage: python benchmarks/peer_cost.py

A report lists the engines on which its sender has generations. Prints the size of a report and the
CPU time to encode and decode one. From these it estimates the load on a gateway for several fleet
sizes, with two heartbeats per second and one report per change of a generation.
"""

import time

from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad

ROUNDS = 300
HEARTBEATS_PER_SECOND = 2
# Start, first event, end.
CHANGES_PER_GENERATION = 3
FLEETS = [
    # (gateways, generations per second per gateway, engines used per gateway)
    (5, 1.1, 6),
    (28, 1.0, 20),
    (100, 10.0, 64),
    (380, 30.0, 64),
]


def build_report(engines: int) -> GatewayReport:
    loads = {f"i-{number:010x}": EndpointLoad(4, 16000, 3000) for number in range(engines)}
    return GatewayReport("front-nasr-a-1", 1 << 61, 123456, loads)


def cpu_us(work) -> float:
    began = time.process_time()
    for _ in range(ROUNDS):
        work()
    return (time.process_time() - began) / ROUNDS * 1e6


def main():
    print("engines   bytes   write us   read us")
    for engines in (6, 20, 64, 200):
        message = build_report(engines)
        data = encode_report(message)
        write = cpu_us(lambda: encode_report(message))  # noqa: B023
        read = cpu_us(lambda: decode_report(data))  # noqa: B023
        print(f"{engines:7} {len(data):7} {write:10.0f} {read:9.0f}")
    print("gateways   reports/s read   % of a core   KB/s in")
    for gateways, generations, engines in FLEETS:
        message = build_report(engines)
        data = encode_report(message)
        read = cpu_us(lambda: decode_report(data))  # noqa: B023
        rate = (gateways - 1) * (HEARTBEATS_PER_SECOND + CHANGES_PER_GENERATION * generations)
        print(f"{gateways:8} {rate:16.0f} {rate * read / 1e4:13.2f} {rate * len(data) / 1000:9.1f}")


if __name__ == "__main__":
    main()
