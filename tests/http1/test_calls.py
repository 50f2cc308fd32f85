"""Whole calls: how long an answer may pause, and how large it may be."""

import pytest
from twisted.internet import defer
from twisted.internet.testing import StringTransport

from guavacleat.http1.calls import CallBrokenError, ResponseTooLargeError, call
from guavacleat.http1.client import EndpointConnection
from tests.conftest import result_of

TIMEOUT = 3.0
READ_TIMEOUT = 0.8
MOST_BYTES = 100


class Pool:
    """One connection, whose other end is a test's."""

    def __init__(self):
        self.connection = EndpointConnection(lambda _: None, lambda _: None)
        self.connection.makeConnection(StringTransport())

    def connect(self, address):
        return defer.succeed(self.connection)


@pytest.fixture
def asked(clock):
    """The connection of a call under way, and what the call fires with."""
    pool = Pool()
    coroutine = call(
        clock, pool, ("e", 80), b"GET", b"/", [], b"", TIMEOUT, READ_TIMEOUT, MOST_BYTES
    )
    return pool.connection, defer.Deferred.fromCoroutine(coroutine)


def test_an_answer_may_take_long_if_it_does_not_pause(asked, clock):
    connection, answered = asked
    clock.advance(TIMEOUT - 0.1)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n")
    for _ in range(20):
        clock.advance(READ_TIMEOUT - 0.1)
        connection.dataReceived(b"x")
    assert result_of(answered).body == b"x" * 20


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nxxx"])
def test_an_answer_that_does_not_begin_or_go_on_is_given_up(asked, clock, first):
    connection, answered = asked
    if first:
        connection.dataReceived(first)
    clock.advance(READ_TIMEOUT if first else TIMEOUT)
    with pytest.raises(CallBrokenError, match="3 bytes" if first else "0 bytes"):
        result_of(answered)
    assert not connection.open


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
    ],
)
def test_an_answer_that_is_too_large_is_not_read_on(asked, data):
    connection, answered = asked
    connection.dataReceived(data)
    with pytest.raises(ResponseTooLargeError):
        result_of(answered)
    assert not connection.open


def test_an_answer_as_large_as_wanted_is_read(asked):
    connection, answered = asked
    connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"x" * 100)
    assert len(result_of(answered).body) == MOST_BYTES
