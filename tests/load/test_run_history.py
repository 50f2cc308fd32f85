"""Checks the history of concurrent fleet runs under randomized faults with fixed seeds."""

import random

import pytest

from guavacleat.checks.runs import check_run
from guavacleat.load.experiment import POLICIES_BY_NAME, EngineSizes, run_policy
from guavacleat.load.workloads import RequestKind, Workload, arrivals

SECONDS = 12.0
SIZES = EngineSizes(memory=2_000, slots=8, cache_blocks=64)
WORKLOAD = Workload(
    kinds=(
        RequestKind("summary", "lm", "standard", 5, 6.0, 64, 5, 100, 60, 0.8, 300),
        RequestKind("tag", "lm", "interactive", 0, 8.0, 32, 3, 60, 6, 0.4, 20),
        RequestKind("record", "lm", "interactive", 0, 4.0, 32, 3, 20, 4, 0.4, 10, repeatable=False),
    ),
    weights_by_account={"a": 3, "b": 1},
    demand_by_account={"a": 1, "b": 2},
    endpoints_by_service={"lm": 5},
    surge=(0.3, 0.6, 2.0),
)


def random_faults(seed):
    """Schedule two terminations, three stalls and a drain at random times and endpoints."""
    rng = random.Random(seed)

    def schedule(fleet):
        names = rng.sample(sorted(fleet.endpoints_by_name), 3)
        endpoints = [fleet.endpoints_by_name[name] for name in names]
        for endpoint in endpoints[:2]:
            fleet.clock.callLater(rng.uniform(1, SECONDS), endpoint.kill)
        fleet.clock.callLater(rng.uniform(1, SECONDS / 2), endpoints[2].drain)
        for _ in range(3):
            stalled = rng.choice(list(fleet.endpoints_by_name.values()))
            fleet.clock.callLater(rng.uniform(1, SECONDS), stalled.stall, rng.uniform(0.5, 6))

    return schedule


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults(seed):
    requests = arrivals(WORKLOAD, SECONDS, seed)
    run = run_policy(
        POLICIES_BY_NAME["guavacleat"],
        WORKLOAD,
        requests,
        SECONDS,
        gateways=2,
        sizes=SIZES,
        max_wait=5.0,
        faults=random_faults(seed),
    )
    assert check_run(run) == []
    completed = sum(log.outcome == "completed" for log in run.logs)
    assert completed > 0.7 * len(requests)


@pytest.mark.parametrize("policy", sorted(POLICIES_BY_NAME))
def test_runs_with_same_seed_are_identical(policy):
    """Guards against nondeterminism that makes results irreproducible."""
    requests = arrivals(WORKLOAD, 4.0, seed=3)
    runs = [
        run_policy(POLICIES_BY_NAME[policy], WORKLOAD, requests, 4.0, sizes=SIZES) for _ in range(2)
    ]
    assert [log.token_times for log in runs[0].logs] == [log.token_times for log in runs[1].logs]
    assert check_run(runs[0]) == []
