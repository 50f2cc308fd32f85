"""Limits that endpoints name in their answers."""

import pytest

from guavacleat.forwarding.feedback import EndpointFeedback
from guavacleat.forwarding.statements import StatementHeaders, parse_statements
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.throttling import EndpointThrottle, LimitRegister
from guavacleat.throttling.limits import EXPIRY_SECONDS
from tests.forwarding.harness import make_entry

NAME = b"limit"
HEADERS = StatementHeaders(rate_limit=NAME, leaving=b"leaving")


@pytest.fixture
def limits(clock):
    return LimitRegister(clock)


def answer(limits, clock, rate, after=0.05):
    """Observe an answer that arrives ``after`` seconds after its request was sent."""
    sent_at = clock.seconds()
    clock.advance(after)
    limits.observe("e1", rate, sent_at)


def test_limit_lasts_until_an_answer_no_longer_names_it(limits, clock):
    answer(limits, clock, 3.0)
    answer(limits, clock, 3.0)
    assert limits.rate("e1") == 3.0 and limits.count() == 1
    answer(limits, clock, None)
    assert limits.rate("e1") is None and limits.count() == 0


def test_the_newest_limit_counts(limits, clock):
    answer(limits, clock, 3.0)
    answer(limits, clock, 1.0)
    assert limits.rate("e1") == 1.0


def test_answer_that_may_be_older_does_not_end_a_limit(limits, clock):
    """Guards against a limit that ends by an answer that was made before the endpoint named it."""
    sent_at = clock.seconds()
    clock.advance(0.1)
    answer(limits, clock, 3.0)
    limits.observe("e1", None, sent_at)
    assert limits.rate("e1") == 3.0


def test_limit_that_no_answer_confirms_expires(limits, clock):
    """Guards against an endpoint that gets no requests and can't say that its limit is over."""
    answer(limits, clock, 3.0)
    clock.advance(EXPIRY_SECONDS + 1)
    assert limits.rate("e1") is None


def test_endpoint_that_restarts_has_no_limit(limits, clock):
    answer(limits, clock, 3.0)
    limits.forget("e1")
    assert limits.rate("e1") is None


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"soon", b"1,2", b"0x3", b"1e999"])
def test_invalid_value_states_nothing(limits, clock, value):
    """Guards against a header that raises an error, or that ends or sets a limit by accident."""
    feedback, entry = EndpointFeedback(
        EndpointRegistry(clock), EndpointThrottle(clock, limits=limits)
    ), make_entry("e1")
    for headers in ([(NAME, b"3")], [(NAME, value)], [(NAME, value)]):
        clock.advance(0.1)
        feedback.observe(entry, clock.seconds(), parse_statements(200, headers, HEADERS))
    assert limits.rate("e1") == 3.0


@pytest.mark.parametrize(
    "values, rate", [([b"0"], 0.0), ([b"2.5"], 2.5), ([b"1e300"], 1e300), ([b"5", b"2"], 2.0)]
)
def test_valid_values(values, rate):
    headers = [(NAME, value) for value in values]
    assert parse_statements(200, headers, HEADERS).rate_limit == rate


def test_limit_that_varies_with_each_answer_does_not_hold_requests_back(limits, clock):
    """Guards against a wait that starts again at each change, which peers report all the time."""
    throttle, entry = EndpointThrottle(clock, limits=limits), make_entry("e1")
    answer(limits, clock, 1.0)
    for number in range(12):
        clock.advance(0.1)
        limits.observe_peer("e1", 1.0 + 0.01 * number, 0.0, same_data_centre=True)
    assert throttle.may_send(entry)


def test_minor_changes_are_neither_logged_nor_reported_at_once(limits, clock):
    changes = []
    limits.on_change = lambda: changes.append(limits.rate("e1"))
    for rate in (3.0, 3.1, 2.9, 3.0, 2.0, 2.1, None, None):
        answer(limits, clock, rate)
    assert changes == [3.0, 2.0, None]
