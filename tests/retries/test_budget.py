"""Tests of the retry budget."""

import types

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from guavacleat.retries import RetryBudget, RetryPurpose
from guavacleat.settings import Bounds

BOUNDS = Bounds(retry_ratio=0.2, retry_extra=20.0, retry_window=10.0)
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["request", "repeat"]), st.floats(0, 1)),
    max_size=200,
)


def make_request(sends=1, service="svc"):
    """A request that was sent ``sends`` times, with what the budget reads of it."""
    return types.SimpleNamespace(
        sends=sends, service=service, metadata=types.SimpleNamespace(id="r1")
    )


def take(budget, service="svc", purpose=RetryPurpose.REPEAT):
    """Send a request a second time; return whether the budget permitted it."""
    return budget.take(make_request(service=service), purpose)


@given(STEPS)
def test_retries_of_all_gateways_stay_within_the_limit(steps):
    """In any window, the gateways' budgets together must not exceed the configured limit."""
    clock = Clock()
    budgets = [RetryBudget(clock, BOUNDS, lambda: 3) for _ in range(3)]
    clock.advance(BOUNDS.retry_window)
    requests, retries = [], []
    for gateway, step, seconds in steps:
        clock.advance(seconds)
        now = clock.seconds()
        if step == "request":
            budgets[gateway].record_request("svc")
            requests.append(now)
        elif take(budgets[gateway]):
            retries.append(now)
            recent_retries = [at for at in retries if at >= now - BOUNDS.retry_window]
            recent_requests = [at for at in requests if at >= now - BOUNDS.retry_window]
            assert (
                len(recent_retries)
                <= BOUNDS.retry_ratio * len(recent_requests) + BOUNDS.retry_extra
            )


@pytest.fixture
def budget(clock):
    budget = RetryBudget(clock, BOUNDS, lambda: 1)
    clock.advance(BOUNDS.retry_window)
    return budget


def exhaust(budget, **arguments):
    """Send requests again until the budget permits no more; return how many it permitted."""
    taken = 0
    while take(budget, **arguments):
        taken += 1
    return taken


def test_the_first_send_of_a_request_needs_no_budget(budget):
    exhaust(budget)
    request = make_request(sends=0)
    assert budget.may_send(request, RetryPurpose.REPEAT)
    assert budget.take(request, RetryPurpose.REPEAT)
    assert not budget.may_send(request, RetryPurpose.REPEAT)
    assert not budget.take(request, RetryPurpose.REPEAT)


def test_a_process_that_has_just_started_has_the_ratio_alone(clock):
    """Guards against restarts that use the extra more than once within a window."""
    budget = RetryBudget(clock, BOUNDS, lambda: 1)
    for _ in range(50):
        budget.record_request("svc")
    assert exhaust(budget) == 8
    clock.advance(BOUNDS.retry_window)
    assert exhaust(budget) == 16


def test_a_gateway_that_does_not_know_how_many_there_are_has_the_ratio_alone(clock):
    """Guards against gateways that each take the extra for theirs alone."""
    budget = RetryBudget(clock, BOUNDS, lambda: None)
    clock.advance(BOUNDS.retry_window)
    for _ in range(50):
        budget.record_request("svc")
    assert exhaust(budget) == 8


@pytest.mark.parametrize("streams, left", [(0, 0), (3, 3), (100, 8)])
def test_repeats_leave_room_for_moves_of_running_streams(budget, streams, left):
    """Guards against streams that are cut since repeats of rejected requests used the budget."""
    for _ in range(streams):
        budget.stream_started("svc")
    assert exhaust(budget) == 16 - left
    assert exhaust(budget, purpose=RetryPurpose.HANDOVER) == left


def test_repeats_use_the_whole_budget_after_the_streams_have_ended(budget):
    for _ in range(100):
        budget.stream_started("svc")
    for _ in range(100):
        budget.stream_ended("svc")
    assert exhaust(budget) == 16


def test_budget_is_available_again_after_the_window(budget, clock):
    assert exhaust(budget)
    clock.advance(BOUNDS.retry_window + 0.1)
    assert budget.may_retry("svc", RetryPurpose.REPEAT)


def test_services_have_separate_budgets(budget):
    assert exhaust(budget)
    assert budget.may_retry("other", RetryPurpose.REPEAT)
