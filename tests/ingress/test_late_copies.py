"""Endpoints that send a second copy of a refusal late, where the next answer is expected."""

import pytest
from twisted.internet import protocol

from tests.quarantine.crashing_fleet import CrashingFleet

REFUSAL = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
BODY = b"id: 1\ndata: token\n\n"


class CopyingEndpoint(protocol.Protocol):
    """Refuses the first request on each connection without its id, and runs the next ones.

    Before it answers the second one, it sends another copy of the refusal.
    """

    def __init__(self, runs):
        self.runs = runs
        self.requests = 0

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        lines = data.split(b"\r\n")
        request_id = next(line for line in lines if line.lower().startswith(b"x-request-id"))
        self.requests += 1
        if self.requests <= 2:
            self.transport.write(REFUSAL)
        if self.requests >= 2:
            self.runs.append(request_id)
            head = b"HTTP/1.1 200 OK\r\n%s\r\nx-endpoint: e0\r\n" % request_id
            self.transport.write(head + b"content-length: %d\r\n\r\n%s" % (len(BODY), BODY))


class CopyingFactory(protocol.Factory):
    def __init__(self):
        self.runs = []

    def buildProtocol(self, addr):  # noqa: N802 - Twisted's name
        del addr
        return CopyingEndpoint(self.runs)


@pytest.fixture
def fleet():
    return CrashingFleet(endpoints=1)


@pytest.fixture
def endpoint(fleet):
    endpoint = CopyingFactory()
    for listening in fleet.network.listening.values():
        if listening.address == ("10.9.0.0", 80):
            listening.factory = endpoint
    return endpoint


@pytest.mark.parametrize("path", ["/record/1", "/listing/1"])
def test_a_late_copy_of_a_refusal_is_not_the_next_answer(fleet, endpoint, path):
    """Guards against a request that may not be repeated and is answered "not run" though it ran."""
    for _ in range(6):
        fleet.send_harmless(path)
        fleet.network.pass_time(0.2)
    assert fleet.harmless_outcomes == {503: 6} and endpoint.runs == []


def test_requests_that_may_be_repeated_use_the_connection_again(fleet, endpoint):
    """Guards against a new connection for each refusal of a full endpoint."""
    gateway = next(iter(fleet.gateways.values()))
    for _ in range(8):
        fleet.send_harmless("/page/1")
        fleet.network.pass_time(0.2)
    assert gateway.context.pool.opened_count < 8 and endpoint.runs
