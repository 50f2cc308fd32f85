"""The completions interface and callers that read slowly or are gone."""

import pytest
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from guavacleat.gateway.site import CompletionsSite
from guavacleat.http1.sockets import POLL_SECONDS, UNREACHABLE_AFTER_SECONDS, SendState

IDLE_SECONDS = 60.0
SENT = SendState(False, False, 100, 0.1)
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


class Streaming(Resource):
    """A resource whose requests are kept open."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self):
        super().__init__()
        self.requests = []

    def render_GET(self, request):  # noqa: N802 - Twisted's name
        self.requests.append(request)
        return NOT_DONE_YET


@pytest.fixture
def resource():
    return Streaming()


@pytest.fixture
def site(clock, resource):
    site = CompletionsSite(resource, clock)
    site.detector.read_state = lambda transport: transport.state
    return site


@pytest.fixture
def caller(site):
    """A caller's transport that has sent one request."""
    channel = site.buildProtocol(None)
    transport = StringTransport()
    transport.state = SENT
    transport.abortConnection = transport.loseConnection
    channel.makeConnection(transport)
    channel.dataReceived(REQUEST)
    return transport


def pass_time(clock, seconds):
    for _ in range(round(seconds / POLL_SECONDS)):
        clock.advance(POLL_SECONDS)


def test_an_unreachable_caller_is_found(clock, caller, resource):
    """Guards against generations that go on for callers that are gone."""
    resource.requests[0].write(b"data: x\n\n")
    caller.state = SendState(True, True, 0, None)
    pass_time(clock, UNREACHABLE_AFTER_SECONDS + 2 * POLL_SECONDS)
    assert caller.disconnecting


@pytest.mark.parametrize("rate,is_closed", [(10, False), (0, True)])
def test_the_idle_timeout_spares_a_caller_that_takes_a_response(
    clock, caller, resource, rate, is_closed
):
    """Guards against an idle timeout that cuts the response of a slow caller."""
    resource.requests[0].write(b"x")
    resource.requests[0].finish()
    for second in range(round(4 * IDLE_SECONDS)):
        caller.state = SendState(True, False, second * rate, 0.1)
        clock.advance(1.0)
    assert caller.disconnecting is is_closed
