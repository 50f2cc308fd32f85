"""Time to converge and extra store calls after a store restore, by number of gateways.

Simulates gateways in six data centres on a virtual clock, with a stand-in store that is repeatedly
restored from a backup four seconds old. Prints, per size, the time until gateways know an endpoint
added after the restore, and the store calls in the five seconds after it beyond those of five
seconds without a restore.

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


def count_calls(fleet, seconds):
    before = fleet.store.call_count
    fleet.pass_time(seconds)
    return fleet.store.call_count - before


def restore_once(fleet, number):
    """Return the sorted times until gateways saw the new endpoint, and the extra calls."""
    baseline_calls = count_calls(fleet, MEASURED_SECONDS)
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
    assert len(seen_by_gateway) == len(fleet.gateways), "a gateway did not see the new endpoint"
    return sorted(seen_by_gateway.values()), fleet.store.call_count - before - baseline_calls


def main():
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    print("gateways  seconds until known: p50, p99, max   extra calls per gateway")
    for size in sizes:
        fleet = RestoredFleet(DATA_CENTRES, size // DATA_CENTRES)
        fleet.pass_time(5.0)
        seen, extra_calls = [], 0
        for number in range(RESTORES):
            times, more_calls = restore_once(fleet, number)
            seen += times
            extra_calls += more_calls
        seen.sort()
        count = len(seen)
        print(
            f"{len(fleet.gateways):8}  {seen[count // 2]:.2f} {seen[count * 99 // 100]:.2f}"
            f" {seen[-1]:.2f}   {extra_calls / RESTORES / len(fleet.gateways):.1f}"
        )


if __name__ == "__main__":
    main()
