"""The graceful stop of a gateway of the completions interface."""

import pytest
from twisted.internet import defer

from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError
from guavacleat.gateway.service import FLUSH_SECONDS, STOP_POLL_SECONDS, GatewayService
from tests.conftest import make_request

STOP_GRACE_SECONDS = 20.0
LIMITS = Limits(queue_per_account=9, in_flight_per_endpoint=1, retry_after=1.0, max_wait=60.0)


class StoppedPort:
    def stopListening(self):  # noqa: N802 - Twisted's name
        return defer.succeed(None)


@pytest.fixture
def gateway(clock):
    """A gateway that was not started; its store is never asked."""
    gateway = GatewayService(clock, ("127.0.0.1", 0), "http://store", stop_grace=STOP_GRACE_SECONDS)
    gateway.port = StoppedPort()
    return gateway


def pass_time(clock, seconds):
    for _ in range(round(seconds / STOP_POLL_SECONDS)):
        clock.advance(STOP_POLL_SECONDS)


@pytest.mark.parametrize("taken_after,stopped_after", [(0.0, 0.5), (5.0, 5.0), (60.0, 20.0)])
def test_a_stop_waits_until_callers_have_their_responses(
    clock, gateway, taken_after, stopped_after
):
    """Guards against a process that ends with the rest of a response in its send buffer."""
    gateway.site.is_sending = lambda: clock.seconds() < taken_after
    stopping = gateway.stopService()
    pass_time(clock, stopped_after - 2 * STOP_POLL_SECONDS)
    assert not stopping.called
    pass_time(clock, 4 * STOP_POLL_SECONDS)
    assert stopping.called


def test_a_stop_refuses_what_still_waits_for_an_endpoint_at_its_end(clock, gateway, monkeypatch):
    """Guards against queued requests whose connections end with the process, without an answer."""
    monkeypatch.setattr(gateway.dispatcher, "_candidates", lambda entry: [object()])
    monkeypatch.setattr(gateway.router, "choose", lambda *arguments: None)
    errors = []
    waiting = gateway.dispatcher.acquire(make_request(), LIMITS)
    waiting.addErrback(lambda failure: errors.append(failure.value))
    gateway.in_flight = 1
    stopping = gateway.stopService()
    pass_time(clock, STOP_GRACE_SECONDS - 2 * STOP_POLL_SECONDS)
    assert not errors
    pass_time(clock, FLUSH_SECONDS)
    assert isinstance(errors[0], NotRunError)
    pass_time(clock, FLUSH_SECONDS)
    assert stopping.called
