"""A caller's connection: framing, limits, smuggling, idle and leaving callers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from guavacleat.http1.server import CallerListener
from guavacleat.routes import CallerLimits

LIMITS = CallerLimits(
    max_header_bytes=2048, max_body_bytes=100, header_timeout=3.0, idle_timeout=15.0
)


class Caller:
    """A connection with its listener; ``exchanges`` are the requests handed on."""

    def __init__(self, clock):
        self.clock = clock
        self.exchanges = []
        self.refused = []
        self.listener = CallerListener(
            clock, self.exchanges.append, lambda: LIMITS, self.refused.append
        )
        self.connection = self.listener.buildProtocol(None)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.connection.makeConnection(self.transport)

    def send(self, data):
        self.connection.dataReceived(data)

    @property
    def received(self):
        return self.transport.value()

    @property
    def closed(self):
        return self.transport.disconnecting


@pytest.fixture
def caller(clock):
    return Caller(clock)


def test_requests_on_one_connection_are_answered_in_turn(caller, clock):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n")
    assert [exchange.head.target for exchange in caller.exchanges] == [b"/a"]
    caller.exchanges[0].respond(200, [], b"first")
    clock.advance(0)
    assert [exchange.head.target for exchange in caller.exchanges] == [b"/a", b"/b"]
    caller.exchanges[1].respond(200, [], b"second")
    assert caller.received.index(b"first") < caller.received.index(b"second")


def test_a_body_in_chunks_arrives_whole(caller):
    caller.send(
        b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert caller.exchanges[0].body == b"abcde"


SMUGGLED = [
    b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n"
    b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 3, 4\r\n\r\nabcd",
    b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: +3\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nhost: h\r\nx : y\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    b"GET /a\x00b HTTP/1.1\r\nhost: h\r\n\r\n",
    b"GET /a HTTP/1.1\r\n\r\n",
]


@pytest.mark.parametrize("request_bytes", SMUGGLED)
def test_requests_that_two_readers_could_frame_differently_are_refused(caller, request_bytes):
    """
    Symptom: an engine runs a request that no caller sent.
    Sequence: a caller sends framing that one reader takes one way and the next another.
    Cause: such a request must be refused, and nothing behind it be read.
    """
    caller.send(request_bytes + b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n")
    assert caller.exchanges == []
    assert 400 <= caller.refused[0] < 502
    assert caller.closed


def test_header_and_body_bounds_have_their_own_status(clock):
    large_header = Caller(clock)
    large_header.send(b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 3000 + b"\r\n\r\n")
    assert large_header.refused == [431]
    large_body = Caller(clock)
    large_body.send(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n")
    assert large_body.refused == [413]
    growing = Caller(clock)
    growing.send(b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
    growing.send(b"65\r\n" + b"x" * 101 + b"\r\n")
    assert growing.refused == [413]


def test_a_caller_that_sends_its_header_too_slowly_is_refused(caller, clock):
    caller.send(b"GET /a HTTP/1.1\r\n")
    clock.advance(2.0)
    caller.send(b"host: h\r\n")
    clock.advance(1.1)
    assert caller.refused == [408]


def test_an_idle_connection_is_closed_and_a_busy_one_is_not(clock):
    idle, busy = Caller(clock), Caller(clock)
    busy.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    clock.advance(15.1)
    assert idle.closed and not busy.closed


def test_an_answer_that_is_cut_never_looks_complete(caller):
    """
    Symptom: a caller takes half an answer for the whole.
    Sequence: the answer goes in chunks; its source fails.
    Cause: the last chunk must not be sent.
    """
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    exchange = caller.exchanges[0]
    exchange.start_response(200, b"OK", [])
    exchange.write(b"half")
    exchange.abort()
    assert caller.closed
    assert not caller.received.endswith(b"0\r\n\r\n")


def test_a_caller_that_leaves_is_noticed_while_its_answer_is_awaited(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    gone = []
    caller.exchanges[0].on_disconnect = lambda: gone.append(True)
    caller.connection.connectionLost()
    assert gone == [True] and caller.exchanges[0].disconnected


def test_a_slow_reader_pauses_the_source(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    exchange = caller.exchanges[0]

    class Source:
        calls = []

        def pause(self):
            self.calls.append("pause")

        def resume(self):
            self.calls.append("resume")

    exchange.source = Source()
    caller.connection.pauseProducing()
    caller.connection.resumeProducing()
    assert exchange.source.calls == ["pause", "resume"]


def test_a_stopping_listener_closes_after_the_answer(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    caller.listener.closing = True
    caller.exchanges[0].respond(200, [], b"x")
    assert b"connection: close" in caller.received.lower()
    assert caller.closed


def test_expect_continue_is_granted(caller):
    caller.send(b"POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n")
    assert caller.received.startswith(b"HTTP/1.1 100")


@given(st.binary(max_size=300))
def test_any_bytes_are_read_refused_or_awaited_never_an_error(data):
    caller = Caller(Clock())
    caller.send(data)
    caller.connection.connectionLost()
