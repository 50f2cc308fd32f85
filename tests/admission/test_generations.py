"""Tests of the generation queue with more requests than the engines have capacity for."""

import pytest

from guavacleat.admission.generations import DISPATCH_JITTER_SECONDS, MAX_WAIT_SHARE, POLL_SECONDS
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.membership.entries import EndpointState
from guavacleat.placement import Run
from guavacleat.placement.engine_choice import MAX_PENDING_PREFILL_TOKENS
from guavacleat.routes import Account, RequestKind
from tests.forwarding.harness import ENGINE, ForwardingHarness

TIMEOUT = 39.0


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, names=("e1",))


def ask(harness, name="r", output=2000, prompt=3000, priority=None, account="a", tried=()):
    """Ask for an engine; return the outcome."""
    request, _ = harness.request(
        kind=RequestKind.STREAM, timeout=TIMEOUT, prompt_tokens=prompt, max_output_tokens=output
    )
    request.metadata.id = name
    request.route.latency_goal = 1.8
    request.account = Account(account, priority)
    results = []
    deferred = harness.queue.acquire(request, set(tried))

    def begin(engine):
        results.append(engine and engine.id)
        if engine is not None:
            run = Run(name, request.expected_tokens(), request.prompt_tokens)
            harness.load.begin(engine.id, run)

    deferred.addCallbacks(begin, lambda failure: results.append(failure.value))
    outcome = Outcome(results, deferred)
    return outcome


class Outcome:
    """The engine's id, None or the error that a request got, or ``waits``."""

    def __init__(self, results, deferred):
        self.results = results
        self.deferred = deferred

    @property
    def result(self):
        return self.results[0] if self.results else "waits"


def occupy(harness, name="e1", tokens=ENGINE.memory_tokens, pending_prefill=0):
    """Occupy an engine's memory; return the run."""
    run = Run(f"full-{name}", tokens, pending_prefill)
    harness.load.begin(name, run)
    return run


def run_dispatch(harness):
    harness.clock.advance(DISPATCH_JITTER_SECONDS)


def test_request_is_dispatched_immediately_if_an_engine_has_capacity(harness):
    assert ask(harness).result == "e1"


def test_result_is_none_without_engines(harness):
    harness.set_endpoint("e1", state=EndpointState.DRAINING)
    assert ask(harness).result is None


def test_requests_are_not_queued_in_an_engine(harness):
    """Requests queued in an engine would be lost when its instance is reclaimed."""
    asked = [ask(harness, f"r{number}") for number in range(4)]
    assert [outcome.result for outcome in asked] == ["e1", "waits", "waits", "waits"]
    harness.set_endpoint("e1", state=EndpointState.DRAINING)
    harness.set_endpoint("e2")
    harness.clock.advance(POLL_SECONDS + DISPATCH_JITTER_SECONDS)
    assert [outcome.result for outcome in asked] == ["e1", "e2", "waits", "waits"]


def test_queued_request_is_dispatched_after_a_prefill(harness):
    first = occupy(harness, tokens=3000, pending_prefill=MAX_PENDING_PREFILL_TOKENS + 1)
    outcome = ask(harness)
    assert outcome.result == "waits"
    first.pending_prefill_tokens = 0
    harness.load.notify_changed(first)
    run_dispatch(harness)
    assert outcome.result == "e1"


def test_expected_output_counts_as_memory(harness):
    run = occupy(harness, tokens=ENGINE.memory_tokens - 3000)
    outcome = ask(harness, output=2000)
    assert outcome.result == "waits"
    harness.load.end("e1", run)
    run_dispatch(harness)
    assert outcome.result == "e1"


def test_request_larger_than_the_memory_goes_to_an_empty_engine(harness):
    assert ask(harness, prompt=2 * ENGINE.memory_tokens).result == "e1"


def test_urgent_request_is_dispatched_first(harness):
    run = occupy(harness)
    less = ask(harness, "less", priority=1)
    more = ask(harness, "more", priority=0)
    harness.load.end("e1", run)
    run_dispatch(harness)
    assert (less.result, more.result) == ("waits", "e1")


def test_backlog_of_one_account_does_not_delay_others(harness):
    """An account's first request must not wait for the whole backlog of another."""
    run = occupy(harness)
    flood = [ask(harness, f"f{number}", account="large") for number in range(6)]
    small = ask(harness, "small", account="small")
    for _ in range(2):
        harness.load.end("e1", run)
        run_dispatch(harness)
        run = next(iter(harness.load.runs_by_endpoint["e1"].values()))
    assert small.result == "e1"
    assert sum(outcome.result == "e1" for outcome in flood) == 1


def test_short_output_is_backfilled_when_the_head_does_not_fit(harness):
    occupy(harness, tokens=ENGINE.memory_tokens - 1500)
    long = ask(harness, "long", priority=0)
    short = ask(harness, "short", output=40, prompt=1000, priority=1)
    run_dispatch(harness)
    assert (long.result, short.result) == ("waits", "e1")


def test_long_output_is_not_backfilled(harness):
    occupy(harness, tokens=ENGINE.memory_tokens - 1500)
    ask(harness, "long", priority=0)
    small = ask(harness, "small", output=400, prompt=500, priority=1)
    run_dispatch(harness)
    assert small.result == "waits"


def test_late_request_goes_behind_those_that_can_meet_their_goal(harness):
    """In order of arrival, a burst would make every request after it miss its latency goal."""
    run = occupy(harness)
    late = ask(harness, "late")
    harness.clock.advance(2.0)
    fresh = ask(harness, "fresh")
    harness.load.end("e1", run)
    run_dispatch(harness)
    assert (late.result, fresh.result) == ("waits", "e1")


def test_request_is_refused_after_its_maximum_wait(harness):
    occupy(harness)
    outcome = ask(harness)
    harness.clock.advance(TIMEOUT * MAX_WAIT_SHARE)
    assert isinstance(outcome.result, RefusalError)
    assert outcome.result.reason is RefusalReason.NO_ROOM and outcome.result.retry_after > 0
    assert not harness.queue.waiting("svc")


def test_request_with_too_long_expected_wait_is_refused_immediately(harness):
    """A request must not be queued if the dispatch rate shows that it will be refused later."""
    run = occupy(harness)
    asked = [ask(harness, f"r{number}") for number in range(40)]
    for _ in range(4):
        harness.load.end("e1", run)
        run_dispatch(harness)
        run = next(iter(harness.load.runs_by_endpoint["e1"].values()))
    outcome = ask(harness, "one more")
    assert outcome.result.reason is RefusalReason.NO_ROOM
    assert outcome.result.retry_after > 1.0
    assert sum(outcome.result == "e1" for outcome in asked) == 4


def test_cancelled_request_leaves_the_queue(harness):
    run = occupy(harness)
    gone, stays = ask(harness, "gone"), ask(harness, "stays")
    gone.deferred.cancel()
    harness.load.end("e1", run)
    run_dispatch(harness)
    assert (gone.result, stays.result) == (None, "e1")


def test_tried_engine_is_excluded(harness):
    outcome = ask(harness, tried=("e1",))
    assert outcome.result is None
    harness.set_endpoint("e2")
    assert ask(harness, tried=("e1",)).result == "e2"


def test_no_timer_runs_while_the_queue_is_empty(harness):
    ask(harness)
    assert harness.clock.getDelayedCalls() == []
