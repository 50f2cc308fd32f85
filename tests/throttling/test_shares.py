"""Shares of an endpoint's maximum rate among gateways that do not ask each other."""

import pytest

from guavacleat.settings import Bounds
from guavacleat.throttling import RateBound, ShareRule

DATA_CENTRES = ["dc0", "dc1", "dc2", "dc3"]
# Of cold endpoints, and of those that name a limit.
COLD = RateBound(Bounds().cold_overshoot, Bounds().cold_slack, 1.0)
NAMED = RateBound(1.5, 5.0, 4.0)
ENDPOINTS = [f"e{number}" for number in range(40)]


class Gateways:
    """What one gateway knows of the others."""

    def __init__(self, count, local):
        self.count = count
        self.local = local

    def gateway_count(self):
        return self.count

    def data_centres(self):
        return []

    def local_gateways(self):
        return self.local


def make_rules(count, data_centres=DATA_CENTRES, is_reachable=lambda one, other: True):
    """The rules of ``count`` gateways; ``is_reachable`` tells who hears of whom."""
    names = {f"g{number}": data_centres[number % len(data_centres)] for number in range(count)}
    return [
        ShareRule(
            name,
            data_centre,
            data_centres,
            Gateways(
                count,
                [
                    other
                    for other, place in names.items()
                    if place == data_centre and (other == name or is_reachable(name, other))
                ],
            ),
        )
        for name, data_centre in names.items()
    ]


def worst_window(rules, endpoint, rate, bound):
    """Requests within the bound's window if every gateway sends as soon as it may."""
    shares = [rule.rate(endpoint, rate, bound) for rule in rules]
    return sum(1 + share * bound.window for share in shares if share)


@pytest.mark.parametrize("bound", [COLD, NAMED])
@pytest.mark.parametrize("rate", [0.1, 1.0, 2.0, 10.0, 36.0, 200.0])
@pytest.mark.parametrize("count", [1, 5, 28, 68, 300])
def test_all_gateways_together_stay_within_the_bound(count, rate, bound):
    allowed = bound.overshoot * rate * bound.window + bound.slack
    rules = make_rules(count)
    assert max(worst_window(rules, id, rate, bound) for id in ENDPOINTS) <= allowed


@pytest.mark.parametrize("bound", [COLD, NAMED])
@pytest.mark.parametrize("rate", [0.1, 1.0, 2.0, 10.0, 36.0])
@pytest.mark.parametrize("count", [28, 68, 300])
def test_halves_that_are_cut_off_from_each_other_stay_within_the_bound(count, rate, bound):
    """Guards against gateways that take over the shares of those they do not reach."""

    def same_half(one, other):
        return (
            int(one[1:]) % 8 < 4
            and int(other[1:]) % 8 < 4
            or (int(one[1:]) % 8 >= 4 and int(other[1:]) % 8 >= 4)
        )

    allowed = bound.overshoot * rate * bound.window + bound.slack
    rules = make_rules(count, is_reachable=same_half)
    assert max(worst_window(rules, id, rate, bound) for id in ENDPOINTS) <= allowed


@pytest.mark.parametrize("bound", [COLD, NAMED])
@pytest.mark.parametrize("rate", [0.1, 1.0, 2.0, 36.0])
@pytest.mark.parametrize("count", [1, 5, 28, 68, 300])
def test_every_endpoint_gets_requests_from_some_gateway(count, rate, bound):
    """Guards against an endpoint with a limited rate that no gateway may use."""
    rules = make_rules(count)
    for id in ENDPOINTS:
        assert sum(rule.rate(id, rate, bound) for rule in rules) >= 0.25 * rate


def test_few_gateways_share_the_whole_rate():
    rules = make_rules(5)
    assert sum(rule.rate("e1", 36.0, COLD) for rule in rules) == pytest.approx(36.0)


def test_every_gateway_may_send_to_some_cold_endpoint():
    """Guards against a gateway without any endpoint while all of them are cold."""
    rules = make_rules(28)
    counts = [sum(rule.rate(id, 36.0, COLD) > 0 for id in ENDPOINTS) for rule in rules]
    assert min(counts) >= 4
