"""Client connections: which data belongs to a response, and when a response is complete."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from guavacleat.http1.client import EndpointConnection, ResponseFailure, ResponseListener
from guavacleat.http1.sockets import SendState


class RecordingListener(ResponseListener):
    def __init__(self):
        self.head = None
        self.body = b""
        self.outcomes = []

    def response_started(self, head):
        self.head = head

    def response_data_received(self, data):
        self.body += data

    def response_completed(self):
        self.outcomes.append("whole")

    def response_failed(self, reason):
        self.outcomes.append(reason)


class ConnectionHarness:
    def __init__(self):
        self.idle, self.closed = [], []
        self.connection = EndpointConnection(self.idle.append, self.closed.append)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.connection.makeConnection(self.transport)

    def send_request(self, method=b"GET", body=b""):
        listener = RecordingListener()
        self.connection.send(method, b"/x", [(b"host", b"e")], body, listener)
        return listener

    def receive(self, data):
        self.connection.dataReceived(data)

    def close(self, kind=ConnectionLost):
        self.connection.connectionLost(Failure(kind()))


@pytest.fixture
def harness():
    return ConnectionHarness()


def test_connection_is_reused_after_a_complete_response(harness):
    listener = harness.send_request()
    harness.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=5\r\n\r\nhi")
    assert (listener.body, listener.outcomes) == (b"hi", ["whole"])
    assert harness.idle == [harness.connection]
    assert harness.connection.keep_alive_seconds == 5.0


CLOSE_CASES = [
    # (data, exception with which the connection is lost, the listener's last outcome)
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi", ConnectionDone, ResponseFailure.CLOSED),
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi", ConnectionLost, ResponseFailure.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\nhi", ConnectionDone, "whole"),
    (b"HTTP/1.1 200 OK\r\n\r\nhi", ConnectionLost, ResponseFailure.RESET),
    (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n", ConnectionDone,
     ResponseFailure.CLOSED),
    (b"", ConnectionDone, ResponseFailure.CLOSED),
    (b"\x00\x01garbage\r\n\r\n", ConnectionDone, ResponseFailure.MALFORMED),
]  # fmt: skip


@pytest.mark.parametrize("data,kind,last", CLOSE_CASES)
def test_truncated_response_is_not_reported_as_complete(harness, data, kind, last):
    """A response without a length is complete only after a clean close."""
    listener = harness.send_request()
    if data:
        harness.receive(data)
    harness.close(kind)
    assert listener.outcomes == [last]
    assert harness.idle == []


def test_data_after_a_response_closes_the_connection(harness):
    """Guards against passing a duplicate response to the connection's next request."""
    listener = harness.send_request()
    response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
    harness.receive(response + response)
    assert listener.outcomes == ["whole"] and listener.body == b"hi"
    assert harness.idle == [] and harness.transport.disconnecting


def test_data_on_an_idle_connection_closes_it(harness):
    harness.send_request()
    harness.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    harness.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    assert harness.transport.disconnecting


def test_early_response_does_not_truncate_the_request_body(harness):
    listener = harness.send_request(b"POST", b"x" * 50)
    harness.receive(b"HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n")
    assert listener.head.status == 413
    assert harness.transport.value().endswith(b"x" * 50)


def test_an_endpoint_takes_a_request_while_it_acknowledges_parts_of_it(harness, monkeypatch):
    states = [
        SendState(True, True, 100, None),
        SendState(True, False, 100, None),
        SendState(True, True, 200, None),
        SendState(False, False, 300, None),
        None,
    ]
    monkeypatch.setattr("guavacleat.http1.client.read_send_state", lambda _: states.pop(0))
    harness.send_request(b"POST", b"x" * 300)
    taking = [harness.connection.is_taking_request() for _ in range(len(states))]
    assert taking == [True, False, True, False, False]


def test_abandoned_request_fails_once(harness):
    listener = harness.send_request()
    harness.connection.abandon()
    harness.close()
    assert listener.outcomes == [ResponseFailure.ABANDONED]


@given(st.binary(max_size=200))
def test_any_data_yields_exactly_one_outcome(data):
    harness = ConnectionHarness()
    listener = harness.send_request()
    if data:
        harness.receive(data)
    harness.close()
    assert len(listener.outcomes) == 1


WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"


def test_a_connection_that_is_reused_is_not_paused(harness):
    """Guards against requests that hang since a slow caller of the last response paused reading."""
    harness.send_request()
    harness.receive(WHOLE[:-1])
    harness.connection.pause()
    assert harness.transport.producerState == "paused"
    harness.receive(WHOLE[-1:])
    assert harness.idle and harness.transport.producerState == "producing"


def test_the_caller_of_the_last_response_does_not_pause_the_next(harness):
    """Guards against a slow caller that stops reading the response to another request."""
    harness.send_request()
    harness.receive(WHOLE)
    harness.connection.pause()
    assert harness.transport.producerState == "producing"
    listener = harness.send_request()
    harness.receive(WHOLE)
    assert listener.outcomes == ["whole"]
