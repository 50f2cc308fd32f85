"""A connection to an endpoint: whose answer the bytes are, and when an answer is whole."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from guavacleat.http1.client import EndpointConnection, ResponseFailure, ResponseListener


class Heard(ResponseListener):
    def __init__(self):
        self.head = None
        self.body = b""
        self.ends = []

    def response_started(self, head):
        self.head = head

    def response_data_received(self, data):
        self.body += data

    def response_completed(self):
        self.ends.append("whole")

    def response_failed(self, reason):
        self.ends.append(reason)


class Link:
    def __init__(self):
        self.idle, self.closed = [], []
        self.connection = EndpointConnection(self.idle.append, self.closed.append)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.connection.makeConnection(self.transport)

    def ask(self, method=b"GET", body=b""):
        heard = Heard()
        self.connection.send(method, b"/x", [(b"host", b"e")], body, heard)
        return heard

    def receive(self, data):
        self.connection.dataReceived(data)

    def lose(self, kind=ConnectionLost):
        self.connection.connectionLost(Failure(kind()))


@pytest.fixture
def link():
    return Link()


def test_a_whole_answer_frees_the_connection(link):
    heard = link.ask()
    link.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=5\r\n\r\nhi")
    assert (heard.body, heard.ends) == (b"hi", ["whole"])
    assert link.idle == [link.connection]
    assert link.connection.keep_alive_seconds == 5.0


BROKEN = [
    # (bytes, how the connection ends, what the listener hears last)
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi", ConnectionDone, ResponseFailure.CLOSED),
    (b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi", ConnectionLost, ResponseFailure.RESET),
    (b"HTTP/1.1 200 OK\r\n\r\nhi", ConnectionDone, "whole"),
    (b"HTTP/1.1 200 OK\r\n\r\nhi", ConnectionLost, ResponseFailure.RESET),
    (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n", ConnectionDone,
     ResponseFailure.CLOSED),
    (b"", ConnectionDone, ResponseFailure.CLOSED),
    (b"\x00\x01garbage\r\n\r\n", ConnectionDone, ResponseFailure.MALFORMED),
]  # fmt: skip


@pytest.mark.parametrize("data,kind,last", BROKEN)
def test_only_a_whole_answer_counts_as_whole(link, data, kind, last):
    """
    Symptom: a truncated answer passes as complete.
    Sequence: the endpoint sends some bytes and its connection ends, cleanly or not.
    Cause: an answer without a length is whole only after a clean end, others only at their length.
    """
    heard = link.ask()
    if data:
        link.receive(data)
    link.lose(kind)
    assert heard.ends == [last]
    assert link.idle == []


def test_bytes_behind_an_answer_end_the_connection(link):
    """
    Symptom: a caller gets another caller's answer.
    Sequence: an endpoint answers twice; the connection is used for the next request.
    Cause: the second answer stands where the next one is due.
    """
    heard = link.ask()
    one = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
    link.receive(one + one)
    assert heard.ends == ["whole"] and heard.body == b"hi"
    assert link.idle == [] and link.transport.disconnecting


def test_bytes_on_an_idle_connection_end_it(link):
    link.ask()
    link.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    link.receive(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    assert link.transport.disconnecting


def test_an_answer_before_the_body_was_read_leaves_the_body_whole(link):
    heard = link.ask(b"POST", b"x" * 50)
    link.receive(b"HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n")
    assert heard.head.status == 413
    assert link.transport.value().endswith(b"x" * 50)


def test_an_abandoned_request_is_told_once(link):
    heard = link.ask()
    link.connection.abandon()
    link.lose()
    assert heard.ends == [ResponseFailure.ABANDONED]


@given(st.binary(max_size=200))
def test_any_bytes_end_in_one_verdict(data):
    link = Link()
    heard = link.ask()
    if data:
        link.receive(data)
    link.lose()
    assert len(heard.ends) == 1
