"""Tests of the fair queue: weighted token shares, priorities, no starvation."""

import itertools
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from guavacleat.admission.queues import get_queue_by_name
from guavacleat.load.report import fair_shares
from tests.conftest import make_request


class Entry:
    def __init__(self, request):
        self.request = request


def serve(queue, rounds, cost_of):
    """Dispatch and charge ``rounds`` requests; return the tokens served by account."""
    served = Counter()
    for _ in range(rounds):
        entry = queue.head()
        queue.remove(entry)
        cost = cost_of(entry.request)
        queue.charge(entry.request, cost)
        served[entry.request.account] += cost
    return served


def backlog(queue, account, weight, count, priority=5):
    for _ in range(count):
        request = make_request(account=account, weight=weight, priority=priority)
        queue.push(Entry(request))


def test_tokens_are_shared_by_weight_not_by_requests():
    """An account with long outputs must not get more than its weighted share of the tokens."""
    queue = get_queue_by_name("fair")
    backlog(queue, "a", 2, 400)
    backlog(queue, "b", 1, 4000)
    served = serve(queue, 1500, lambda request: 1000 if request.account == "a" else 100)
    assert 1.9 <= served["a"] / served["b"] <= 2.1


def test_idle_account_does_not_accumulate_credit():
    """An account that was idle must not stall the others when it becomes active again."""
    queue = get_queue_by_name("fair")
    backlog(queue, "a", 1, 1000)
    serve(queue, 500, lambda _: 100)
    backlog(queue, "b", 1, 400)
    served = serve(queue, 200, lambda _: 100)
    assert served["a"] >= 0.45 * sum(served.values())


def test_urgent_requests_do_not_starve_another_account():
    """With strict priority across accounts, batch requests would never run."""
    queue = get_queue_by_name("fair")
    backlog(queue, "b", 1, 500, priority=10)
    backlog(queue, "a", 1, 500, priority=0)
    assert queue.head().request.account == "a"
    served = serve(queue, 200, lambda _: 100)
    assert served["b"] >= 0.4 * sum(served.values())


def test_urgent_requests_of_an_account_are_served_first():
    queue = get_queue_by_name("fair")
    backlog(queue, "a", 1, 3, priority=10)
    backlog(queue, "a", 1, 1, priority=0)
    assert queue.head().request.priority == 0


ACCOUNTS = st.lists(st.integers(1, 9), min_size=2, max_size=6)


@given(weights=ACCOUNTS, seed=st.integers(0, 99))
def test_backlogged_accounts_get_their_shares_for_any_lengths(weights, seed):
    """Each account is within two of the largest requests of its weighted share."""
    queue = get_queue_by_name("fair")
    for number, weight in enumerate(weights):
        backlog(queue, f"a{number}", weight, 600)
    costs = itertools.cycle([10, 1000, 50 + seed, 300])
    served = serve(queue, 500, lambda _: next(costs))
    unit = sum(served.values()) / sum(weights)
    for number, weight in enumerate(weights):
        assert abs(served[f"a{number}"] - unit * weight) <= 2 * 1000 * max(weights)


def test_fair_shares_redistribute_unused_shares():
    shares = fair_shares({"a": 100, "b": 1000, "c": 1000}, {"a": 2, "b": 1, "c": 1}, 1100)
    assert shares == {"a": 100, "b": 500, "c": 500}
