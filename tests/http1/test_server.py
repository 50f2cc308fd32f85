"""Callers' connections: framing, request smuggling, limits, timeouts and disconnects."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from guavacleat.http1.body_memory import COPIES, SHORT_BODY_BYTES, BodyMemory
from guavacleat.http1.server import MAX_UNSENT_BYTES, READ_AHEAD_BYTES, CallerListener
from guavacleat.http1.sockets import SendState
from guavacleat.routes import CallerLimits

LIMITS = CallerLimits(
    max_header_bytes=2048, max_body_bytes=100, header_timeout=3.0, idle_timeout=15.0
)


class Caller:
    """A connection with its listener; ``exchanges`` are the requests passed to the handler."""

    def __init__(self, clock, body_memory=None, limits=LIMITS):
        self.clock = clock
        self.exchanges = []
        self.rejected_statuses = []
        self.listener = CallerListener(
            clock, self.exchanges.append, lambda: limits, self.rejected_statuses.append, body_memory
        )
        self.connection = self.listener.buildProtocol(None)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.transport.loseWriteConnection = self.transport.loseConnection
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


def test_pipelined_requests_are_handled_in_order(caller, clock):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n")
    assert [exchange.head.target for exchange in caller.exchanges] == [b"/a"]
    caller.exchanges[0].respond(200, [], b"first")
    clock.advance(0)
    assert [exchange.head.target for exchange in caller.exchanges] == [b"/a", b"/b"]
    caller.exchanges[1].respond(200, [], b"second")
    assert caller.received.index(b"first") < caller.received.index(b"second")


def test_pipelined_requests_beyond_the_read_ahead_are_not_read(caller, clock):
    """Guards against a buffer that grows with each request while the caller sends more of them."""
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" * (2 * READ_AHEAD_BYTES // 30))
    for number in range(100):
        caller.send(b"")
        assert caller.transport.producerState == "paused"
        caller.exchanges[number].respond(200, [], b"")
        clock.advance(0)


def test_a_body_is_read_on_after_the_read_ahead(clock):
    """Guards against a pipelined request that isn't read any more since its beginning was."""
    limits = CallerLimits(max_body_bytes=4 * READ_AHEAD_BYTES)
    caller = Caller(clock, limits=limits)
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    size = 3 * READ_AHEAD_BYTES
    caller.send(b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size)
    caller.send(b"x" * (2 * READ_AHEAD_BYTES))
    assert caller.transport.producerState == "paused"
    caller.exchanges[0].respond(200, [], b"")
    clock.advance(0)
    assert caller.transport.producerState == "producing"
    caller.send(b"x" * READ_AHEAD_BYTES)
    assert caller.exchanges[1].body == b"x" * size


def test_pipelined_requests_wait_for_a_caller_that_does_not_read(caller, clock):
    """Guards against responses that fill the memory since their caller doesn't read them."""
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" * 200)
    caller.connection.pauseProducing()
    handled = 0
    while handled < len(caller.exchanges):
        caller.exchanges[handled].respond(200, [], b"x" * 1024)
        handled += 1
        clock.advance(0)
    assert MAX_UNSENT_BYTES < caller.connection.unsent < 2 * MAX_UNSENT_BYTES
    caller.connection.resumeProducing()
    assert len(caller.exchanges) == handled + 1


def test_a_caller_that_does_not_read_is_closed_after_the_idle_timeout(caller, clock):
    """Guards against connections that stay open since nothing is read or written on them."""
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n" * 2)
    caller.connection.pauseProducing()
    caller.exchanges[0].respond(200, [], b"x" * (2 * MAX_UNSENT_BYTES))
    clock.advance(0)
    assert len(caller.exchanges) == 1
    clock.advance(LIMITS.idle_timeout)
    assert caller.connection.closer is not None


def test_chunked_body_is_decoded(caller):
    caller.send(
        b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert caller.exchanges[0].body == b"abcde"


AMBIGUOUS_REQUESTS = [
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


@pytest.mark.parametrize("request_bytes", AMBIGUOUS_REQUESTS)
def test_requests_with_ambiguous_framing_are_rejected(caller, request_bytes):
    """Guards against request smuggling: data after such a request must not be parsed."""
    caller.send(request_bytes + b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n")
    assert caller.exchanges == []
    assert 400 <= caller.rejected_statuses[0] < 502
    assert caller.closed


def test_header_and_body_limits_have_their_own_status(clock):
    large_header = Caller(clock)
    large_header.send(b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 3000 + b"\r\n\r\n")
    assert large_header.rejected_statuses == [431]
    large_body = Caller(clock)
    large_body.send(b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 101\r\n\r\n")
    assert large_body.rejected_statuses == [413]
    chunked_body = Caller(clock)
    chunked_body.send(b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
    chunked_body.send(b"65\r\n" + b"x" * 101 + b"\r\n")
    assert chunked_body.rejected_statuses == [413]


def test_slow_request_head_times_out(caller, clock):
    caller.send(b"GET /a HTTP/1.1\r\n")
    clock.advance(2.0)
    caller.send(b"host: h\r\n")
    clock.advance(1.1)
    assert caller.rejected_statuses == [408]


def test_idle_timeout_spares_a_connection_with_a_request_in_progress(clock):
    idle, busy = Caller(clock), Caller(clock)
    busy.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    clock.advance(15.1)
    assert idle.closed and not busy.closed


def test_aborted_response_is_not_terminated(caller):
    """Without the last chunk the caller can tell that the response is truncated."""
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    exchange = caller.exchanges[0]
    exchange.start_response(200, b"OK", [])
    exchange.write(b"half")
    exchange.abort()
    assert caller.closed
    assert not caller.received.endswith(b"0\r\n\r\n")


def test_disconnect_is_reported_while_a_request_is_handled(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    disconnects = []
    caller.exchanges[0].on_disconnect = lambda: disconnects.append(True)
    caller.connection.connectionLost()
    assert disconnects == [True] and caller.exchanges[0].disconnected


class RecordingProducer:
    def __init__(self):
        self.calls = []

    def pause(self):
        self.calls.append("pause")

    def resume(self):
        self.calls.append("resume")


def test_slow_reader_pauses_the_producer(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    exchange = caller.exchanges[0]
    exchange.producer = RecordingProducer()
    caller.connection.pauseProducing()
    caller.connection.resumeProducing()
    assert exchange.producer.calls == ["pause", "resume"]


def test_slow_reader_of_a_response_pauses_the_producer_of_the_next(caller, clock):
    """Guards against buffering a whole response behind one that fills the send buffer."""
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n")
    caller.connection.pauseProducing()
    caller.exchanges[0].respond(200, [], b"x")
    clock.advance(0)
    exchange = caller.exchanges[1]
    exchange.producer = RecordingProducer()
    caller.connection.resumeProducing()
    assert exchange.producer.calls == ["pause", "resume"]


def test_closing_listener_closes_the_connection_after_the_response(caller):
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    caller.listener.closing = True
    caller.exchanges[0].respond(200, [], b"x")
    assert b"connection: close" in caller.received.lower()
    assert caller.closed


@pytest.mark.parametrize("linger", [True, False])
def test_a_connection_is_sending_until_its_caller_has_the_response(caller, linger):
    """Guards against a stop that counts a response as sent once it is in a buffer."""
    pending, sent = SendState(True, False, 0, None), SendState(False, False, 9, None)
    caller.send(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
    caller.listener.detector.read_state = lambda transport: pending
    caller.exchanges[0].respond(200, [], b"x")
    assert caller.listener.is_sending()
    caller.connection.close(linger)
    assert caller.listener.is_sending()
    caller.listener.detector.read_state = lambda transport: sent
    assert not caller.listener.is_sending()


def test_what_follows_a_rejected_request_is_discarded(caller):
    """Guards against buffering the rest of a body that was rejected for its size."""
    caller.send(post(101, 50))
    for _ in range(10):
        caller.send(b"x" * 1000)
    assert caller.rejected_statuses == [413]
    assert len(caller.connection.parser.trailing_data[0]) <= 50


def test_expect_100_continue(caller):
    caller.send(b"POST /a HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n")
    assert caller.received.startswith(b"HTTP/1.1 100")


@given(st.binary(max_size=300))
def test_any_data_is_parsed_without_an_exception(data):
    caller = Caller(Clock())
    caller.send(data)
    caller.connection.connectionLost()


def post(body_bytes, sent):
    head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % body_bytes
    return head + b"x" * sent


CHUNKED = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.fixture
def body_memory():
    return BodyMemory(COPIES * 150)


@pytest.mark.parametrize("second", [post(80, 0), post(80, 80), CHUNKED + b"50\r\n" + b"x" * 80])
def test_a_body_for_which_there_is_no_memory_is_rejected_unread(clock, body_memory, second):
    """Guards against bodies that count only once they are complete, and exceed the memory."""
    first, other = Caller(clock, body_memory), Caller(clock, body_memory)
    first.send(post(80, 1))
    other.send(second)
    assert other.rejected_statuses == [503] and other.exchanges == []
    assert b"retry-after: 0.5" in other.received and other.closed
    first.send(b"x" * 79)
    assert len(first.exchanges) == 1 and body_memory.used == COPIES * 80


def test_memory_is_released_after_the_response_and_with_the_connection(clock, body_memory):
    """Guards against memory that stays reserved, so that all bodies are rejected in the end."""
    answered, lost, rejected = (Caller(clock, body_memory) for _ in range(3))
    answered.send(post(80, 80))
    answered.exchanges[0].respond(200, [], b"")
    assert body_memory.used == 0
    lost.send(post(80, 10))
    lost.connection.connectionLost(Failure(ConnectionLost()))
    rejected.send(CHUNKED + b"50\r\n" + b"x" * 80 + b"\r\n50\r\n" + b"x" * 80)
    assert rejected.rejected_statuses == [413] and body_memory.used == 0


@pytest.mark.parametrize("drain", ["resumeProducing", "connectionLost"])
def test_unsent_responses_count_as_memory_until_the_caller_reads(clock, body_memory, drain):
    """Guards against slow callers whose responses exceed the memory of the process."""
    slow, other = Caller(clock, body_memory), Caller(clock, body_memory)
    slow.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    slow.connection.pauseProducing()
    slow.exchanges[0].respond(200, [], b"x" * 200)
    other.send(post(80, 80))
    assert other.rejected_statuses == [503]
    getattr(slow.connection, drain)()
    assert body_memory.used == 0


def test_long_bodies_leave_memory_to_short_ones():
    """Guards against a few slow callers of long bodies that keep all others out."""
    memory = BodyMemory(COPIES * 10 * SHORT_BODY_BYTES)
    assert memory.reserve(7 * SHORT_BODY_BYTES)
    assert not memory.reserve(2 * SHORT_BODY_BYTES)
    assert memory.reserve(SHORT_BODY_BYTES)
    assert not memory.reserve(1, SHORT_BODY_BYTES)
    assert memory.reserve(SHORT_BODY_BYTES)
