"""What a store that comes back from a copy costs: time and calls, by the number of gateways.

Plays gateways of six data centres on a paused clock before a stand-in store that is restored from a
copy four seconds old, several times. Prints, per size, how long gateways take until they know an
endpoint that came after the restore, and the calls of the store in the five seconds after it beyond
those of five calm seconds.

Usage: python benchmarks/restore_cost.py [GATEWAYS ...]
"""

import sys

from tests.restore.fleet import RestoredFleet

SIZES = (12, 68, 300)
DATA_CENTRES = 6
RESTORES = 3
LOST_SECONDS = 4.0
STEP_SECONDS = 0.05
MEASURED_SECONDS = 5.0


def calls(fleet, seconds):
    before = fleet.store.call_count
    fleet.pass_time(seconds)
    return fleet.store.call_count - before


def restore_once(fleet, number):
    """Return seconds until each gateway knew the endpoint that came, sorted, and extra calls."""
    calm = calls(fleet, MEASURED_SECONDS)
    fleet.store.copy()
    fleet.pass_time(LOST_SECONDS)
    before = fleet.store.call_count
    fleet.restore()
    id = f"after-{number}"
    fleet.set_endpoint(id, "ready")
    seen_by_gateway = {}
    for step in range(round(MEASURED_SECONDS / STEP_SECONDS)):
        fleet.pass_time(STEP_SECONDS)
        for name, gateway in fleet.gateways.items():
            if id in gateway.ready_ids():
                seen_by_gateway.setdefault(name, (step + 1) * STEP_SECONDS)
    assert len(seen_by_gateway) == len(fleet.gateways), "a gateway never heard of it"
    return sorted(seen_by_gateway.values()), fleet.store.call_count - before - calm


def main():
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    print("gateways  seconds until known: 50th, 99th of 100, most   extra calls a gateway")
    for size in sizes:
        fleet = RestoredFleet(DATA_CENTRES, size // DATA_CENTRES)
        fleet.pass_time(5.0)
        seen, extra = [], 0
        for number in range(RESTORES):
            times, more = restore_once(fleet, number)
            seen += times
            extra += more
        seen.sort()
        found = len(seen)
        print(
            f"{len(fleet.gateways):8}  {seen[found // 2]:.2f} {seen[found * 99 // 100]:.2f}"
            f" {seen[-1]:.2f}   {extra / RESTORES / len(fleet.gateways):.1f}"
        )


if __name__ == "__main__":
    main()
