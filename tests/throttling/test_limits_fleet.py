"""Gateways together stay within the limits that endpoints name in their answers."""

import bisect
import itertools

import pytest

from tests.throttling.statement_fleet import StatementFleet


def most_within(times, seconds):
    """The most of the times within any ``seconds``."""
    times = sorted(times)
    return max(bisect.bisect(times, at + seconds) - index for index, at in enumerate(times))


@pytest.mark.parametrize("gateways, rate", [(1, 2.0), (4, 1.0), (4, 3.0), (12, 2.0)])
def test_endpoint_gets_no_more_than_the_limit_that_it_named(gateways, rate):
    """Guards against gateways that ignore a limit, or of which each uses the whole of it."""
    fleet = StatementFleet(gateways=gateways)
    fleet.send(2.0)
    fleet.logs[0].name_limit(rate)
    fleet.send(15.0)
    assert not fleet.logs[0].exceeded_limits()
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())


def test_gateways_that_know_no_others_keep_to_a_limit_together():
    """Guards against gateways that each use the whole limit as long as they can't register."""
    fleet = StatementFleet(gateways=6)
    fleet.restart_unregistered()
    fleet.network.pass_time(2.0)
    fleet.send(2.0)
    fleet.logs[0].name_limit(1.0)
    fleet.send(15.0)
    assert not fleet.logs[0].exceeded_limits()
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())


def test_limit_that_is_halved_counts_at_once():
    """Guards against gateways that keep to the first limit that an endpoint named."""
    fleet = StatementFleet()
    fleet.logs[0].name_limit(4.0)
    fleet.send(6.0)
    fleet.logs[0].name_limit(1.0)
    fleet.send(10.0)
    assert not fleet.logs[0].exceeded_limits()


@pytest.mark.parametrize("gateways, rate", [(1, 2.0), (4, 1.0), (12, 0.0)])
def test_endpoint_is_used_again_after_its_limit_ends(gateways, rate):
    """Guards against an endpoint that gets too few requests to say that its limit is over."""
    fleet = StatementFleet(gateways=gateways)
    fleet.logs[0].name_limit(rate)
    fleet.send(6.0)
    fleet.logs[0].endpoint.standin.rate_limit = None
    fleet.send(20.0 if rate == 0 else 8.0)
    ended_at = fleet.network.seconds()
    fleet.send(5.0)
    assert fleet.logs[0].count_between(ended_at, ended_at + 5.0) > 30


def test_requests_are_refused_at_once_when_all_endpoints_limit_their_rate():
    """Guards against callers that wait for a share which is used up, or that return together."""
    fleet = StatementFleet()
    for log in fleet.logs:
        log.name_limit(1.0)
    fleet.send(10.0, retry=True)
    assert not any(log.exceeded_limits() for log in fleet.logs)
    assert set(fleet.harmless_outcomes) == {200, 503}
    assert fleet.harmless_outcomes[200] >= 25
    assert fleet.longest_refusal_seconds < 0.25
    assert min(fleet.harmless_retry_after) > 0
    # At no time do callers return four times as fast as they are refused.
    refused_per_second = len(fleet.harmless_returns) / 10.0
    assert most_within(fleet.harmless_returns, 0.25) <= 4 * 0.25 * refused_per_second


def test_limit_of_one_endpoint_does_not_push_another_beyond_its_own():
    fleet = StatementFleet()
    fleet.logs[0].name_limit(1.0)
    fleet.logs[1].name_limit(3.0)
    fleet.send(12.0)
    assert not fleet.logs[0].exceeded_limits()
    assert not fleet.logs[1].exceeded_limits()
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())


def test_gateway_that_starts_during_a_limit_hears_of_it():
    """Guards against a herd from gateways that have just started and were told nothing yet."""
    fleet = StatementFleet()
    fleet.logs[0].name_limit(1.0)
    fleet.send(4.0)
    for number in range(3):
        fleet.start_gateway(f"new{number}", f"10.0.1.{number}", "dc0")
    fleet.send(1.0)
    started_at = fleet.network.seconds()
    fleet.send(6.0)
    assert fleet.logs[0].count_between(started_at, started_at + 6.0) <= 12


def test_gateway_that_is_cut_off_keeps_to_its_share():
    """Guards against a gateway that takes over the shares of those it no longer hears of."""
    fleet = StatementFleet()
    fleet.logs[0].name_limit(1.0)
    fleet.send(4.0)
    addresses = [gateway.settings.ip for gateway in fleet.gateways.values()]
    fleet.network.blocked_links |= set(itertools.permutations(addresses, 2))
    fleet.send(12.0)
    assert not fleet.logs[0].exceeded_limits()


@pytest.mark.parametrize("gateways, rate", [(4, 4.0), (8, 4.0), (12, 2.0), (24, 4.0)])
@pytest.mark.parametrize("cut_off", [False, True])
def test_limit_holds_while_one_gateway_after_the_other_gets_most_requests(gateways, rate, cut_off):
    """Guards against shares by demand that exceed the limit when the demand moves."""
    fleet = StatementFleet(gateways=gateways, data_centres=2)
    for log in fleet.logs:
        log.name_limit(rate)
    fleet.send(4.0)
    for number in range(6):
        fleet.send_to(f"g{number % gateways}", 3.0, per_second=60.0)
        if cut_off and number == 2:
            addresses = [gateway.settings.ip for gateway in fleet.gateways.values()]
            fleet.network.blocked_links |= set(itertools.permutations(addresses, 2))
    assert not any(log.exceeded_limits() for log in fleet.logs)


def test_gateways_without_requests_learn_of_a_limit_and_of_its_end():
    fleet = StatementFleet()
    gateways = fleet.gateways.values()
    fleet.logs[0].name_limit(3.0)
    fleet.send_to("g0", 2.0)
    assert [gateway.limits.rate(fleet.logs[0].endpoint.id) for gateway in gateways] == [3.0] * 4
    fleet.logs[0].endpoint.standin.rate_limit = None
    fleet.send_to("g0", 4.0)
    assert [gateway.limits.rate(fleet.logs[0].endpoint.id) for gateway in gateways] == [None] * 4


@pytest.mark.parametrize("lists_data_centres", [True, False])
def test_many_gateways_of_several_data_centres_share_a_limit(lists_data_centres):
    """Guards against gateways of each data centre that share it as if there were no other."""
    fleet = StatementFleet(gateways=28, data_centres=4, lists_data_centres=lists_data_centres)
    fleet.logs[0].name_limit(3.0)
    fleet.send(12.0, per_second=90.0)
    now = fleet.network.seconds()
    assert not fleet.logs[0].exceeded_limits()
    assert 4 <= fleet.logs[0].count_between(now - 8.0, now) <= 3.0 * 8.0
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())
