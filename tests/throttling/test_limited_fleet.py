"""Gateways together stay within the limits that endpoints name in their answers."""

import pytest

from tests.throttling.limited_fleet import LimitedFleet


@pytest.mark.parametrize("gateways, rate", [(1, 2.0), (4, 1.0), (4, 3.0), (12, 2.0)])
def test_endpoint_gets_no_more_than_the_limit_that_it_named(gateways, rate):
    """Guards against gateways that ignore a limit, or of which each uses the whole of it."""
    fleet = LimitedFleet(gateways=gateways)
    fleet.send(2.0)
    fleet.logs[0].name_limit(rate)
    fleet.send(15.0)
    assert fleet.logs[0].most_in_window() <= fleet.allowed(rate)
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())
