"""Endpoints that turn gateways away and ask for a pause."""

import pytest

from tests.throttling.statement_fleet import REQUESTS_PER_PAUSE, StatementFleet

ENGINE = {"engine": {"slots": 8, "memory_tokens": 30000, "tokens_per_event": 1}}


@pytest.mark.parametrize("path", ["/page/1", "/record/1", "/listing/1"])
@pytest.mark.parametrize("service", [{}, ENGINE])
def test_gateway_gives_an_endpoint_the_pause_that_it_asks_for(service, path):
    """Guards against requests to an endpoint that refuses them and seems to have no load."""
    fleet = StatementFleet(gateways=2, service=service)
    fleet.send(1.0, path=path)
    fleet.logs[0].turn_away(3.0)
    fleet.send(8.0, path=path)
    assert fleet.logs[0].most_in_pause() <= REQUESTS_PER_PAUSE
    assert fleet.harmless_outcomes[200] == sum(fleet.harmless_outcomes.values())


@pytest.mark.parametrize("path", ["/page/1", "/record/1", "/listing/1"])
def test_requests_are_refused_at_once_when_all_endpoints_ask_for_a_pause(path):
    """Guards against requests that go round among endpoints which all turn them away."""
    fleet = StatementFleet(gateways=2)
    for log in fleet.logs:
        log.turn_away(3.0)
    fleet.send(8.0, path=path)
    assert max(log.most_in_pause() for log in fleet.logs) <= REQUESTS_PER_PAUSE
    assert set(fleet.harmless_outcomes) == {503}
    assert fleet.longest_refusal_seconds < 0.25
    assert max(fleet.harmless_retry_after) <= 5.0
