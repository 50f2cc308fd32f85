"""Answers of endpoints whose status is none of HTTP's."""

import itertools

import pytest
from twisted.internet import protocol

from tests.quarantine.crashing_fleet import CrashingFleet

STATUSES = [b"000", b"001", b"099", b"101", b"600", b"999", b"1000", b"20", b"-01", b"2x0", b""]
# A stream that could be forwarded, and plain answers to requests that may and may not be repeated.
PATHS = ["/page/1", "/record/1", "/listing/1"]
BODY = b"id: 1\ndata: token\n\n"


class InvalidEndpoint(protocol.Protocol):
    """Answers each request with ``status`` and what else a valid answer has."""

    def __init__(self, status):
        self.status = status

    def dataReceived(self, data):  # noqa: N802 - Twisted's name
        request_id = next(
            line for line in data.split(b"\r\n") if line.lower().startswith(b"x-request-id")
        )
        head = b"HTTP/1.1 %s OK\r\n%s\r\nx-endpoint: e0\r\n" % (self.status, request_id)
        self.transport.write(head + b"content-length: %d\r\n\r\n%s" % (len(BODY), BODY))


class InvalidFactory(protocol.Factory):
    def __init__(self, status):
        self.status = status

    def buildProtocol(self, addr):  # noqa: N802 - Twisted's name
        del addr
        return InvalidEndpoint(self.status)


@pytest.mark.parametrize("status,path", itertools.product(STATUSES, PATHS))
def test_an_answer_with_an_invalid_status_is_not_forwarded(status, path):
    """Guards against an engine's bytes that callers take for an answer of HTTP."""
    fleet = CrashingFleet(endpoints=1)
    for listening in fleet.network.listening.values():
        if listening.address == ("10.9.0.0", 80):
            listening.factory = InvalidFactory(status)
    for _ in range(2):
        fleet.send_harmless(path)
        fleet.network.pass_time(0.5)
    assert set(fleet.harmless_outcomes) == {502}
