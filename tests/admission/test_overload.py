"""Load pattern: many gateways before engines that can't hold what callers ask for.

Engines leave and come all the time, so that memory is short for seconds; the gateways know of each
other's queues from reports that are some 20 ms old.
"""

import pytest

from guavacleat.admission.backlog import Backlog
from guavacleat.admission.cost import MAX_RELATIVE_COST, MIN_RELATIVE_COST, RelativeCost
from guavacleat.admission.generations import (
    DISPATCH_JITTER_SECONDS,
    OVERLOAD_WAIT_SECONDS,
    RATE_WINDOW_SECONDS,
    GenerationQueue,
)
from guavacleat.forwarding.refusals import RefusalError
from guavacleat.placement.prefill import MAX_DELAY_SECONDS, FirstEventEstimate
from tests.admission.test_generations import ask, occupy
from tests.forwarding.harness import ForwardingHarness


class Peers:
    """The other gateways' backlog of every service."""

    def __init__(self):
        self.reported = Backlog()

    def backlog(self, service):
        return Backlog().add(self.reported)


@pytest.fixture
def peers():
    return Peers()


@pytest.fixture
def harness(clock, peers):
    harness = ForwardingHarness(clock, names=("e1",))
    harness.queue = GenerationQueue(clock, harness.context.placement, seed=1, peers=peers)
    harness.load.listeners[:] = [harness.queue.schedule_dispatch]
    return harness


def dispatched(rate):
    return round(rate * RATE_WINDOW_SECONDS)


def test_request_that_would_be_late_is_refused_at_once(harness, peers):
    """Guards against a queue in which every request waits until it is late."""
    occupy(harness)
    peers.reported = Backlog(20, 40, dispatched(20.0))
    outcome = ask(harness)
    assert isinstance(outcome.result, RefusalError)
    assert outcome.result.retry_after >= 2.0


def test_request_waits_while_it_can_be_on_time(harness, peers):
    occupy(harness)
    peers.reported = Backlog(5, 6, dispatched(20.0))
    assert ask(harness).result == "waits"


def test_expensive_requests_are_refused_before_cheap_ones(harness, peers):
    """Guards against one long generation that takes the place of several short ones."""
    for _ in range(20):
        ask(harness, output=500).deferred.cancel()
    occupy(harness)
    peers.reported = Backlog(10, 16, dispatched(20.0))
    assert isinstance(ask(harness, "long", output=2000).result, RefusalError)
    assert ask(harness, "short", output=200).result == "waits"


def test_free_engine_is_used_whatever_the_backlog(harness, peers):
    """Guards against refusals while an engine has room."""
    peers.reported = Backlog(20, 400, dispatched(20.0))
    assert ask(harness).result == "e1"


def test_late_request_is_refused_only_in_an_overload(harness, peers):
    occupy(harness)
    waiting = int(2 * OVERLOAD_WAIT_SECONDS * 20)
    kept = ask(harness, "kept")
    harness.clock.advance(2.0)
    assert kept.result == "waits"
    refused = ask(harness, "refused")
    peers.reported = Backlog(10, waiting, dispatched(20.0))
    harness.clock.advance(2.0)
    assert isinstance(refused.result, RefusalError)


def test_dispatches_are_spread_over_the_waiting_gateways(harness, peers):
    """Guards against all gateways sending to the same engine as soon as it has room."""
    delays = []
    for _ in range(40):
        peers.reported = Backlog(19, 19, dispatched(20.0))
        run = occupy(harness)
        outcome = ask(harness, output=100)
        harness.clock.advance(0.2)
        harness.load.end("e1", run)
        ended_at = harness.clock.seconds()
        while outcome.result == "waits":
            harness.clock.advance(0.005)
        delays.append(harness.clock.seconds() - ended_at)
        for id, runs in list(harness.load.runs_by_endpoint.items()):
            for run in list(runs.values()):
                harness.load.end(id, run)
    spread = 20 * DISPATCH_JITTER_SECONDS
    assert max(delays) <= 1.5 * spread
    assert min(delays) < 0.2 * spread and max(delays) > 0.5 * spread


def test_only_one_request_is_dispatched_at_a_time_beside_other_gateways(harness, peers):
    """Guards against a gateway that fills an engine by loads which others have changed since."""
    peers.reported = Backlog(5, 5, dispatched(20.0))
    run = occupy(harness)
    outcomes = [ask(harness, f"r{number}", output=10, prompt=100) for number in range(2)]
    harness.load.end("e1", run)
    while all(outcome.result == "waits" for outcome in outcomes):
        harness.clock.advance(0.001)
    assert sum(outcome.result == "e1" for outcome in outcomes) == 1


def test_relative_cost_is_bounded(harness):
    costs = RelativeCost()
    found = []
    for output in (10, 500, 500, 8000, 500, 10):
        request, _ = harness.request(max_output_tokens=output, expected_output_tokens=output)
        found.append(costs.observe(request))
    assert all(MIN_RELATIVE_COST <= cost <= MAX_RELATIVE_COST for cost in found)
    assert found[3] > found[4] > found[5]


def test_first_event_estimate_follows_the_engines():
    estimate = FirstEventEstimate()
    assert estimate.seconds(7000) == pytest.approx(1.0)
    for _ in range(50):
        estimate.observe(7000, 1.5)
    assert estimate.seconds(7000) == pytest.approx(1.5, abs=0.01)
    for _ in range(50):
        estimate.observe(7000, 60.0)
    assert estimate.seconds(7000) <= 1.0 + MAX_DELAY_SECONDS
