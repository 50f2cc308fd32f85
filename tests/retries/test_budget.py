"""Tests of the retry budget."""

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


@given(STEPS)
def test_retries_of_all_gateways_stay_within_the_limit(steps):
    """In any window, the gateways' budgets together must not exceed the configured limit."""
    clock = Clock()
    budgets = [RetryBudget(clock, BOUNDS, lambda: 3) for _ in range(3)]
    requests, retries = [], []
    for gateway, step, seconds in steps:
        clock.advance(seconds)
        now = clock.seconds()
        if step == "request":
            budgets[gateway].record_request("svc")
            requests.append(now)
        elif budgets[gateway].may_retry("svc"):
            budgets[gateway].record_retry("svc", "r1", RetryPurpose.REPEAT)
            retries.append(now)
            recent_retries = [at for at in retries if at >= now - BOUNDS.retry_window]
            recent_requests = [at for at in requests if at >= now - BOUNDS.retry_window]
            assert (
                len(recent_retries)
                <= BOUNDS.retry_ratio * len(recent_requests) + BOUNDS.retry_extra
            )


@pytest.fixture
def budget(clock):
    return RetryBudget(clock, BOUNDS, lambda: 1)


def test_budget_is_available_again_after_the_window(budget, clock):
    while budget.may_retry("svc"):
        budget.record_retry("svc", "r1", RetryPurpose.REPEAT)
    clock.advance(BOUNDS.retry_window + 0.1)
    assert budget.may_retry("svc")


def test_services_have_separate_budgets(budget):
    while budget.may_retry("svc"):
        budget.record_retry("svc", "r1", RetryPurpose.REPEAT)
    assert budget.may_retry("other")
