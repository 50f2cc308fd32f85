"""Shares of a rate by the demand that gateways report to each other."""

import pytest

from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.throttling import DemandMeter, ServiceDemand
from guavacleat.throttling.demand import AVERAGING_SECONDS, share_by_demand
from guavacleat.totals import sum_of


def shares_within(groups, gateways):
    """The shares of gateways that hear only of those in their group; ``groups`` hold demands."""
    return [
        share_by_demand(
            ServiceDemand.of_gateway(demand),
            ServiceDemand(len(group) - 1, sum(group) - demand),
            gateways,
        )
        for group in groups
        for demand in group
    ]


@pytest.mark.parametrize(
    "groups",
    [
        [[10.0, 10.0, 10.0, 10.0]],
        [[95.0, 2.0, 2.0, 1.0]],
        [[0.0, 0.0, 0.0, 0.0]],
        [[95.0, 2.0], [2.0, 1.0]],
        [[95.0], [2.0], [2.0], [1.0]],
    ],
)
def test_shares_sum_to_one_also_of_gateways_that_are_cut_off(groups):
    """Guards against gateways that take over the shares of those they do not hear of."""
    assert sum(shares_within(groups, 4)) == pytest.approx(1.0)


def test_a_gateway_that_gets_nearly_all_requests_gets_most_of_the_rate():
    assert shares_within([[95.0, 2.0, 2.0, 1.0]], 4)[0] > 0.75


def test_a_gateway_without_requests_keeps_a_share():
    """Guards against a gateway that may not send the first of its requests."""
    assert shares_within([[100.0, 0.0, 0.0, 0.0]], 4)[1] > 0.05


class Peers:
    def __init__(self, demand):
        self._demand = demand

    def demand(self, service):
        return self._demand


def test_the_measured_rate_follows_the_requests(clock):
    meter = DemandMeter(clock)
    for _ in range(1000):
        clock.advance(0.05)
        meter.record("svc")
    assert meter.report(["svc"])["svc"].rate == pytest.approx(20.0, rel=0.1)
    clock.advance(3 * AVERAGING_SECONDS)
    assert meter.report(["svc"])["svc"].rate < 1.5
    assert meter.report(["other"])["other"].rate == 0.0


def test_a_share_changes_only_when_the_demand_is_reported(clock):
    """Guards against a gateway that takes a larger share before others know of it."""
    meter = DemandMeter(clock, Peers(ServiceDemand(3, 30.0)))
    assert meter.share("svc", 4) == 0.25
    meter.report(["svc"])
    before = meter.share("svc", 4)
    for _ in range(100):
        meter.record("svc")
    assert meter.share("svc", 4) == before
    meter.report(["svc"])
    assert meter.share("svc", 4) > before


def test_a_report_contains_the_demands():
    demands = {"svc": ServiceDemand.of_gateway(20.0), "other": ServiceDemand(2, float("nan"))}
    report = GatewayReport("g1", 1, 1, {}, demands_by_service=demands)
    decoded = decode_report(encode_report(report)).demands_by_service
    assert decoded.keys() == {"svc"}
    total = sum_of(ServiceDemand, [decoded["svc"], demands["svc"]])
    assert (total.gateways, total.rate, total.largest) == (2, 40.0, (20.0, 20.0))
