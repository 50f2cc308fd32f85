"""The retry budget: the sum over all gateways stays within the bound in any window."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from guavacleat.retries import RetryBudget
from guavacleat.settings import Bounds

BOUNDS = Bounds(retry_ratio=0.2, retry_extra=20.0, retry_window=10.0)
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["request", "repeat"]), st.floats(0, 1)),
    max_size=200,
)


@given(STEPS)
def test_all_gateways_together_keep_the_bound(steps):
    """
    Symptom: endpoints that fail under load get still more load.
    Sequence: three gateways repeat whatever their own budget allows, in any order.
    Cause: each may use the ratio of its own requests and a third of the extra.
    """
    clock = Clock()
    budgets = [RetryBudget(clock, BOUNDS, lambda: 3) for _ in range(3)]
    requests, repeats = [], []
    for gateway, step, seconds in steps:
        clock.advance(seconds)
        now = clock.seconds()
        if step == "request":
            budgets[gateway].record_request("svc")
            requests.append(now)
        elif budgets[gateway].may_retry("svc"):
            budgets[gateway].record_retry("svc")
            repeats.append(now)
            lately = [at for at in repeats if at >= now - BOUNDS.retry_window]
            asked = [at for at in requests if at >= now - BOUNDS.retry_window]
            assert len(lately) <= BOUNDS.retry_ratio * len(asked) + BOUNDS.retry_extra


@pytest.fixture
def budget(clock):
    return RetryBudget(clock, BOUNDS, lambda: 1)


def test_repeats_are_free_again_after_the_window(budget, clock):
    while budget.may_retry("svc"):
        budget.record_retry("svc")
    clock.advance(BOUNDS.retry_window + 0.1)
    assert budget.may_retry("svc")


def test_services_do_not_use_each_others_budget(budget):
    while budget.may_retry("svc"):
        budget.record_retry("svc")
    assert budget.may_retry("other")
