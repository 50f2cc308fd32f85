"""Load pattern: urgent and deferrable generations before engines that have no room for a while."""

import pytest

from guavacleat.admission.backlog import Backlog, RankBacklog
from guavacleat.admission.expected_wait import expected_wait
from guavacleat.admission.generations import RATE_WINDOW_SECONDS
from guavacleat.admission.refusal_policy import Arrival, RefusalPolicy
from guavacleat.admission.return_times import MAX_RETURNS, seconds_since_first_attempt

URGENT, DEFERRABLE = 0, 1
TOKENS = 3500


def rank(waiting=0, per_second=0):
    dispatched = round(per_second * RATE_WINDOW_SECONDS)
    return RankBacklog(waiting, waiting * TOKENS, dispatched, dispatched * TOKENS)


def backlog(urgent, deferrable, gateways=1):
    return Backlog(gateways, backlogs_by_rank={URGENT: urgent, DEFERRABLE: deferrable})


def arrival(rank=DEFERRABLE, slack=1.0, timeout=20.0):
    return Arrival(rank, TOKENS, slack, timeout / 3, timeout)


def refuse_many(policy, count, state, **kwargs):
    return [policy.at_deadline(arrival(**kwargs), state, 0.0).retry_after for _ in range(count)]


@pytest.fixture
def policy(clock):
    return RefusalPolicy(clock, seed=1)


@pytest.fixture
def overload():
    """Deferrable generations wait for 3 s, urgent ones not at all."""
    return backlog(rank(per_second=10), rank(waiting=30, per_second=10))


def test_urgent_request_behind_deferrable_ones_is_not_refused(policy, overload):
    """Guards against urgent requests that are refused for a queue behind them."""
    assert policy.on_arrival(arrival(URGENT, slack=0.2), overload, 0.0) is None
    assert policy.on_late(arrival(URGENT), overload, 1.0) is None
    assert not policy.misses_goal(arrival(URGENT, slack=0.2), overload, 0.0)
    refusal = policy.on_arrival(arrival(timeout=6.0), overload, 0.0)
    assert refusal.detail == "expected to wait 3.00 s for room at rank 1, 0 returns due"
    overload.backlogs_by_rank[URGENT].waiting_tokens = 10 * TOKENS
    assert expected_wait(overload, DEFERRABLE) == pytest.approx(4.0), "urgent ones go first"
    assert expected_wait(overload, URGENT) == pytest.approx(0.5), "at the rate of both"


@pytest.mark.parametrize(
    "slack, timeout, refused, misses_goal",
    [
        (5.0, 20.0, False, False),
        (5.0, 6.0, True, False),
        (2.9, 20.0, False, True),
        (3.3, 20.0, False, True),
        (-1.0, 20.0, False, False),
    ],
    ids=["has slack", "a third passes", "late by its wait", "hardly in time", "late already"],
)
def test_refused_on_arrival_only_if_the_wait_is_too_long(
    policy, overload, slack, timeout, refused, misses_goal
):
    """Guards against refusals of requests with slack, and queues in which all become late."""
    request = arrival(slack=slack, timeout=timeout)
    assert (policy.on_arrival(request, overload, 0.0) is not None) == refused
    assert policy.misses_goal(request, overload, 0.0) == misses_goal


def test_short_queue_puts_nobody_behind(policy):
    """Guards against a changed order while the wait is within the error of its estimate."""
    short = backlog(rank(), rank(2, per_second=10))
    assert not policy.misses_goal(arrival(slack=0.1), short, 0.0)


def test_late_request_is_refused_once_it_can_not_be_served_in_its_wait(policy, overload):
    """Guards against requests that are held until the end of a wait that leads nowhere."""
    assert policy.on_late(arrival(), overload, 1.0) is None, "room after 3 s, refused after 6.7"
    assert policy.on_late(arrival(), overload, 4.0).detail.startswith("late, expected to wait 3")
    overload.backlogs_by_rank[DEFERRABLE + 1] = rank(waiting=20)
    assert policy.on_late(arrival(), overload, 2.0).detail.startswith("late, expected to wait 5")


@pytest.mark.parametrize("timeout", [1.0, 8.0, 60.0])
def test_burst_of_refusals_is_spread_over_the_time_of_room(policy, overload, timeout):
    """Guards against callers that return together, or later than they are willing to."""
    times = refuse_many(policy, 50, overload, timeout=timeout)
    assert len(set(times)) == 50 and max(times) <= timeout / 4
    room_at = [min(3.0 + index / 10, timeout / 4) for index in range(50)]
    assert times == pytest.approx(room_at, rel=0.1)


def test_gateways_that_refuse_together_share_the_room(clock):
    """Guards against returns at 24 times the rate of dispatches."""
    state = backlog(rank(), rank(waiting=40, per_second=20), gateways=24)
    policies = [RefusalPolicy(clock, seed) for seed in range(24)]
    times = [time for policy in policies for time in refuse_many(policy, 5, state, timeout=60.0)]
    busiest = max(sum(start <= time < start + 2.0 for time in times) for start in times)
    assert busiest <= 2 * 2.0 * 20, "at most twice the room of two seconds"


def test_urgent_requests_return_before_less_urgent_ones(policy):
    """Guards against urgent callers that are told to return after deferrable ones."""
    state = backlog(rank(waiting=40, per_second=10), rank(waiting=40, per_second=10))
    deferrable = refuse_many(policy, 20, state, timeout=60.0)
    urgent = refuse_many(policy, 5, state, rank=URGENT, timeout=60.0)
    assert max(urgent) < min(deferrable)


def test_rate_of_fewer_than_four_dispatches_refuses_nothing(policy):
    """Guards against refusals in a service that has hardly begun to dispatch."""
    state = backlog(rank(), rank(waiting=50, per_second=1))
    assert policy.on_arrival(arrival(slack=0.1), state, 0.0) is None
    assert policy.on_late(arrival(), state, 1.0) is None
    assert policy.at_deadline(arrival(), state, 6.7).retry_after == pytest.approx(1.0, rel=0.1)


def test_returns_are_bounded_and_forgotten(policy, overload):
    """Guards against memory that grows with refusals, and times that count past returns."""
    refuse_many(policy, MAX_RETURNS + 10, overload)
    assert policy.returns_due == {DEFERRABLE: MAX_RETURNS}
    policy.clock.advance(6.0)
    assert policy.returns_due == {}


def test_returning_request_keeps_its_place():
    assert [seconds_since_first_attempt(20.0, left) for left in (20.5, 14.0)] == [0.0, 6.0]
