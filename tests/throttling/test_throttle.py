"""Requests to cold endpoints."""

import pytest

from guavacleat.routes import ServiceTraits
from guavacleat.throttling import ColdEndpoints, EndpointThrottle
from guavacleat.throttling.cold import UNREACHABLE_SECONDS
from tests.forwarding.harness import make_entry

TRAITS = ServiceTraits("svc", 100, cold_start=2.0, cold_rate=4.0)
ENTRY = make_entry("e1")


@pytest.fixture
def limiter(clock):
    return EndpointThrottle(clock, ColdEndpoints(clock, {"svc": TRAITS}.get))


def count_allowed(limiter, clock, seconds):
    """Requests sent within ``seconds`` if one is sent whenever it is allowed."""
    sent = 0
    for _ in range(round(seconds / 0.01)):
        if limiter.may_send(ENTRY):
            limiter.record_send(ENTRY)
            sent += 1
        clock.advance(0.01)
    return sent


def test_warm_endpoint_has_no_limit(limiter, clock):
    assert count_allowed(limiter, clock, 1.0) == 100


def test_cold_endpoint_gets_requests_at_its_rate(limiter, clock):
    limiter.cold.mark_cold(ENTRY)
    assert 7 <= count_allowed(limiter, clock, 2.0) <= 9
    assert limiter.may_send(ENTRY) and not limiter.is_throttled(ENTRY)


def test_endpoint_that_says_so_stays_cold_for_that_time(limiter, clock):
    limiter.cold.mark_cold(ENTRY, 5.0)
    clock.advance(4.9)
    assert limiter.is_throttled(ENTRY)
    clock.advance(0.2)
    assert not limiter.is_throttled(ENTRY)


def test_a_shorter_time_does_not_end_a_longer_one(limiter, clock):
    limiter.cold.mark_cold(ENTRY, 5.0)
    limiter.cold.mark_cold(ENTRY, 1.0)
    clock.advance(2.0)
    assert limiter.is_throttled(ENTRY)


def test_endpoint_is_cold_after_it_was_unreachable(limiter, clock):
    """Guards against a burst of waiting requests to an endpoint that has just restarted."""
    limiter.cold.record_unreachable(ENTRY)
    clock.advance(1.0)
    limiter.cold.record_reached(ENTRY)
    clock.advance(TRAITS.cold_start - 0.1)
    assert limiter.is_throttled(ENTRY)
    clock.advance(0.2)
    assert not limiter.is_throttled(ENTRY)


def test_an_unreachable_endpoint_is_not_lost(limiter, clock):
    """Guards against a gateway that waits for ever for a connection that it never tries."""
    limiter.cold.record_unreachable(ENTRY)
    clock.advance(UNREACHABLE_SECONDS + TRAITS.cold_start + 0.1)
    assert limiter.may_send(ENTRY) and not limiter.is_throttled(ENTRY)


def test_service_without_a_rate_has_no_limit(clock):
    limiter = EndpointThrottle(clock, ColdEndpoints(clock, {"svc": ServiceTraits("svc", 100)}.get))
    limiter.cold.mark_cold(ENTRY, 5.0)
    assert not limiter.is_throttled(ENTRY)


def test_seconds_until_allowed_is_the_interval_between_requests(limiter):
    limiter.cold.mark_cold(ENTRY)
    limiter.record_send(ENTRY)
    assert limiter.seconds_until_allowed(ENTRY) == pytest.approx(0.25)


@pytest.mark.parametrize("seconds,left", [(None, TRAITS.cold_start - 1.0), (9.0, 8.0)])
def test_an_endpoint_is_cold_though_its_service_is_known_later(clock, seconds, left):
    """Guards against too many requests to cold endpoints that are read before the configuration."""
    services = {}
    cold = ColdEndpoints(clock, services.get)
    entry = make_entry("e1")
    cold.mark_cold(entry, seconds)
    clock.advance(1.0)
    services["svc"] = TRAITS
    assert cold.cold_until(entry) - clock.seconds() == left


def test_an_endpoint_of_a_service_without_a_limit_is_not_cold(clock):
    services = {}
    limiter = EndpointThrottle(clock, ColdEndpoints(clock, services.get))
    entry = make_entry("e1")
    limiter.cold.mark_cold(entry)
    services["svc"] = ServiceTraits("svc", 100)
    assert limiter.may_send(entry) and not limiter.is_throttled(entry)
