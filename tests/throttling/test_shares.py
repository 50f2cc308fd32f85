"""Shares of an endpoint's maximum rate among gateways that do not ask each other."""

import heapq

import pytest
from twisted.internet.task import Clock

from guavacleat.settings import Bounds
from guavacleat.throttling import DemandMeter, RateBound, ServiceDemand, ShareRule
from guavacleat.throttling.demand import AVERAGING_SECONDS

DATA_CENTRES = ["dc0", "dc1", "dc2", "dc3"]
# Of cold endpoints, and of those that name a limit.
COLD = RateBound(Bounds().cold_overshoot, Bounds().cold_slack, 1.0)
NAMED = RateBound(1.5, 5.0, 4.0)
ENDPOINTS = [f"e{number}" for number in range(40)]
SERVICE = "svc"


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


class Peers:
    """The demand that one gateway hears of."""

    def __init__(self, rates):
        self.rates = rates

    def demand(self, service):
        return ServiceDemand(len(self.rates), sum(self.rates), heapq.nlargest(8, self.rates))


def make_meter(rates, number, heard):
    """A gateway's meter that has reported; ``heard`` are the others that it hears of."""
    meter = DemandMeter(Clock(), Peers([rates[other] for other in heard if other != number]))
    for _ in range(round(rates[number] * AVERAGING_SECONDS)):
        meter.record(SERVICE)
    meter.report([SERVICE])
    return meter


def make_rules(count, data_centres=DATA_CENTRES, is_reachable=lambda one, other: True, rates=None):
    """The rules of ``count`` gateways; ``is_reachable`` tells who hears of whom.

    :param rates: the requests per second at each gateway; None if nothing is known of them.
    """
    names = {f"g{number}": data_centres[number % len(data_centres)] for number in range(count)}

    def meter(name):
        if rates is None:
            return DemandMeter(Clock())
        heard = [number for number in range(count) if is_reachable(name, f"g{number}")]
        return make_meter(rates, int(name[1:]), heard)

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
            meter(name),
        )
        for name, data_centre in names.items()
    ]


def worst_window(rules, endpoint, rate, bound, service=None):
    """Requests within the bound's window if every gateway sends as soon as it may."""
    shares = [rule.rate(endpoint, rate, bound, service) for rule in rules]
    return sum(1 + share * bound.window for share in shares if share)


@pytest.mark.parametrize("bound", [COLD, NAMED])
@pytest.mark.parametrize("rate", [0.1, 1.0, 2.0, 10.0, 36.0, 200.0])
@pytest.mark.parametrize("count", [1, 5, 28, 68, 300])
def test_all_gateways_together_stay_within_the_bound(count, rate, bound):
    allowed = bound.overshoot * rate * bound.window + bound.slack
    rules = make_rules(count)
    assert max(worst_window(rules, id, rate, bound) for id in ENDPOINTS) <= allowed


def in_same_half(one, other):
    return (int(one[1:]) % 8 < 4) is (int(other[1:]) % 8 < 4)


# The parts of all requests that the most crowded gateways get; the others share the rest.
CROWDS = [(0.95,), (0.24, 0.24, 0.24, 0.24), (0.5, 0.2, 0.13), (0.0,)]


def crowd_rates(count, crowd):
    """Rates that a meter measures exactly."""
    others = count - len(crowd)
    parts = [*crowd, *[(1 - sum(crowd)) / others] * others]
    return [round(500.0 * part * AVERAGING_SECONDS) / AVERAGING_SECONDS for part in parts]


@pytest.mark.parametrize("crowd", CROWDS)
@pytest.mark.parametrize("rate", [0.25, 1.0, 2.0, 10.0, 36.0, 200.0])
@pytest.mark.parametrize("count", [5, 12, 28, 68, 300])
@pytest.mark.parametrize("cut_off", [False, True])
def test_gateways_stay_within_the_bound_while_some_are_crowded(count, rate, crowd, cut_off):
    """Guards against shares by demand of which all together are too large."""
    rules = make_rules(
        count,
        is_reachable=in_same_half if cut_off else lambda one, other: True,
        rates=crowd_rates(count, crowd),
    )
    worst = max(worst_window(rules, id, rate, NAMED, SERVICE) for id in ENDPOINTS[:8])
    assert worst <= NAMED.requests(rate)


@pytest.mark.parametrize("rate", [1.0, 2.0, 10.0])
@pytest.mark.parametrize("count", [28, 68, 300])
def test_a_crowded_gateway_gets_most_of_what_is_shared(count, rate):
    """Guards against a gateway with nearly all requests and a share like the others'."""
    rules = make_rules(count, rates=crowd_rates(count, (0.95,)))
    shares = [rules[0].rate(id, rate, NAMED, SERVICE) for id in ENDPOINTS]
    assert min(shares) >= 0.7 * 0.5 * rate


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


@pytest.mark.parametrize("bound", [COLD, NAMED])
def test_a_gateway_that_does_not_know_how_many_there_are_has_no_share(bound):
    """Guards against gateways that each take an endpoint's rate for theirs alone."""
    rule = ShareRule("g0", "dc0", DATA_CENTRES, Gateways(None, ["g0"]), DemandMeter(Clock()))
    assert rule.rate("e0", 10.0, bound, SERVICE) == 0.0
