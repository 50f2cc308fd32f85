"""HTTP calls: timeouts and the size limit of the response body."""

import pytest
from twisted.internet import defer
from twisted.internet.testing import StringTransport

from guavacleat.http1.calls import CallBrokenError, ResponseTooLargeError, call
from guavacleat.http1.client import EndpointConnection
from tests.conftest import result_of

TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 0.8
MAX_BODY_BYTES = 100


class FakePool:
    """Pool with a single connection whose peer is the test."""

    def __init__(self):
        self.connection = EndpointConnection(lambda _: None, lambda _: None)
        self.connection.makeConnection(StringTransport())

    def connect(self, address, identified=False):
        del address, identified
        return defer.succeed(self.connection)


@pytest.fixture
def pending_call(clock):
    """A call in progress: its connection and its Deferred result."""
    pool = FakePool()
    coroutine = call(
        clock,
        pool,
        ("e", 80),
        b"GET",
        b"/",
        [],
        b"",
        TIMEOUT_SECONDS,
        READ_TIMEOUT_SECONDS,
        MAX_BODY_BYTES,
    )
    return pool.connection, defer.Deferred.fromCoroutine(coroutine)


def test_read_timeout_does_not_limit_the_total_time(pending_call, clock):
    connection, result = pending_call
    clock.advance(TIMEOUT_SECONDS - 0.1)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n")
    for _ in range(20):
        clock.advance(READ_TIMEOUT_SECONDS - 0.1)
        connection.dataReceived(b"x")
    assert result_of(result).body == b"x" * 20


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nxxx"])
def test_stalled_response_times_out(pending_call, clock, first):
    connection, result = pending_call
    if first:
        connection.dataReceived(first)
    clock.advance(READ_TIMEOUT_SECONDS if first else TIMEOUT_SECONDS)
    with pytest.raises(CallBrokenError, match="3 bytes" if first else "0 bytes"):
        result_of(result)
    assert not connection.open


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
    ],
)
def test_response_above_the_size_limit_is_aborted(pending_call, data):
    connection, result = pending_call
    connection.dataReceived(data)
    with pytest.raises(ResponseTooLargeError):
        result_of(result)
    assert not connection.open


def test_response_at_the_size_limit_is_accepted(pending_call):
    connection, result = pending_call
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"x" * 100)
    assert len(result_of(result).body) == MAX_BODY_BYTES
