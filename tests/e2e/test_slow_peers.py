"""Callers and endpoints that read slowly, or not at all, over real sockets."""

import ctypes
import http.client
import itertools
import signal
import socket
import threading
import time

import pytest

from tests.e2e.ingress_process import STOP_TIMEOUT_SECONDS
from tests.e2e.platform_standins import configuration

# Longer than an unreachable peer may stay undetected.
PAUSE_SECONDS = 5.0
# Time to detect an unreachable peer, plus the time to act on it.
DETECTION_SECONDS = 5.0
TIMEOUT_MS = 30000
GRACE_SECONDS = 8.0
ROUTES = ["/plain/x", "/stream/x"]
RECEIVE_BUFFER_BYTES = 65536
SO_ATTACH_FILTER = 26
RETURN_CONSTANT = 6


class SocketFilter(ctypes.Structure):
    """The kernel's struct sock_filter."""

    _fields_ = [
        ("code", ctypes.c_ushort),
        ("jt", ctypes.c_ubyte),
        ("jf", ctypes.c_ubyte),
        ("k", ctypes.c_uint),
    ]


class SocketFilterProgram(ctypes.Structure):
    """The kernel's struct sock_fprog."""

    _fields_ = [("len", ctypes.c_ushort), ("filter", ctypes.POINTER(SocketFilter))]


def become_unreachable(connection):
    """Drop all that arrives on a socket, so that its peer gets no acknowledgement."""
    drop_all = (SocketFilter * 1)(SocketFilter(RETURN_CONSTANT, 0, 0, 0))
    program = SocketFilterProgram(1, drop_all)
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(program))


class Caller:
    """A request on a connection with a small receive buffer."""

    def __init__(self, port, path, body_bytes=0):
        self.connection = socket.socket()
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.connection.settimeout(TIMEOUT_MS / 1000)
        self.connection.connect(("127.0.0.1", port))
        self.send_head(path, body_bytes)

    def send_head(self, path, body_bytes):
        self.connection.sendall(
            b"POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nKey: k1\r\n"
            b"Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
            % (path.encode(), TIMEOUT_MS, body_bytes)
        )

    def read_answer(self, bytes_per_second=None):
        """Read the answer; return its status and body, or the error that cut it."""
        response = http.client.HTTPResponse(self.connection)
        parts = []
        try:
            response.begin()
            step = RECEIVE_BUFFER_BYTES if bytes_per_second is None else bytes_per_second // 20
            while part := response.read(step):
                parts.append(part)
                if bytes_per_second is not None:
                    time.sleep(len(part) / bytes_per_second)
        except (OSError, http.client.HTTPException) as exc:
            return None, repr(exc)
        return response.status, b"".join(parts)


@pytest.fixture
def port(ingress, store_state):
    """The port of an ingress whose routes have a long timeout."""
    store_state.write("config", "main", configuration(2, TIMEOUT_MS))
    ingress.wait_ready()
    return ingress.port


def set_answer(engine_state, size):
    engine_state.answer = b"y" * size
    engine_state.events = ["y" * 1000] * (size // 1000)


def is_whole(path, answer, size):
    status, body = answer
    expected = {
        "/plain/x": lambda: body == b"y" * size,
        "/stream/x": lambda: body.count(b"data: " + b"y" * 1000) == size // 1000,
    }
    return status == 200 and expected[path]()


def read_all(callers, **arguments):
    """The answers of all callers, which read at the same time."""
    answers = [None] * len(callers)

    def read(number):
        answers[number] = callers[number].read_answer(**arguments)

    threads = [threading.Thread(target=read, args=(number,)) for number in range(len(callers))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("size", [250_000, 3_000_000])
def test_an_answer_reaches_a_caller_that_pauses(port, engine_state, path, size):
    """Guards against taking a caller for unreachable that has no room for more data."""
    set_answer(engine_state, size)
    callers = [Caller(port, path) for _ in range(4)]
    time.sleep(PAUSE_SECONDS)
    assert all(is_whole(path, answer, size) for answer in read_all(callers))


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("pause", [PAUSE_SECONDS, GRACE_SECONDS + 2.0])
def test_a_stop_does_not_cut_the_response_of_a_caller_that_pauses(
    ingress, port, engine_state, path, pause
):
    """Guards against a process that ends before the responses in its send buffers are sent."""
    size = 1_000_000
    set_answer(engine_state, size)
    callers = [Caller(port, path) for _ in range(4)]
    time.sleep(0.7)
    ingress.process.send_signal(signal.SIGTERM)
    time.sleep(pause)
    assert all(is_whole(path, caller.read_answer(), size) for caller in callers)
    assert ingress.process.wait(timeout=STOP_TIMEOUT_SECONDS) == 0


def test_a_connection_is_not_idle_while_its_caller_takes_a_response(
    port, store_state, engine_state
):
    """Guards against an idle timeout that cuts the response of a caller that pauses."""
    store_state.write("config", "main", configuration(3, TIMEOUT_MS, {"idleTimeoutMs": 1000}))
    time.sleep(0.5)
    size = 1_000_000
    set_answer(engine_state, size)
    caller = Caller(port, "/plain/x")
    time.sleep(PAUSE_SECONDS)
    assert is_whole("/plain/x", caller.read_answer(), size)


@pytest.mark.parametrize("pause", [0.0, PAUSE_SECONDS])
def test_an_unreachable_caller_is_found(port, engine_state, pause):
    """Guards against engines that work for callers that are gone, also after a pause."""
    engine_state.events = itertools.repeat("y" * 1000)
    caller = Caller(port, "/stream/x")
    assert caller.connection.recv(1000)
    time.sleep(pause)
    become_unreachable(caller.connection)
    gone_at = time.monotonic()
    while engine_state.broken_at is None:
        assert time.monotonic() < gone_at + DETECTION_SECONDS, "the stream still runs"
        time.sleep(0.05)


def test_an_endpoint_that_reads_slowly_gets_the_whole_request(port, engine_state):
    """Guards against taking an endpoint for unreachable that has no room for more data."""
    engine_state.read_pause = PAUSE_SECONDS
    body = b"z" * 3_500_000
    caller = Caller(port, "/plain/x")
    assert caller.read_answer() == (200, b"echo:")
    caller.send_head("/plain/x", len(body))
    caller.connection.sendall(body)
    assert caller.read_answer() == (200, b"echo:" + body)


def test_an_unreachable_endpoint_is_found(port, engine_state):
    """Guards against requests that wait until their deadline for an endpoint that is gone."""
    engine_state.on_request = become_unreachable
    engine_state.read_pause = 2 * DETECTION_SECONDS
    caller = Caller(port, "/plain/x")
    sent_at = time.monotonic()
    status, _ = caller.read_answer()
    assert status == 502
    assert time.monotonic() < sent_at + DETECTION_SECONDS


def send_slowly(caller, body):
    """Send a request at some 5 MB/s, whatever the response is meanwhile."""
    caller.send_head("/plain/x", len(body))
    for start in range(0, len(body), 100_000):
        caller.connection.sendall(body[start : start + 100_000])
        time.sleep(0.02)


def test_a_refusal_reaches_a_caller_that_is_still_sending(port):
    """Guards against a reset that overtakes the response to a body that is too long."""
    caller = Caller(port, "/plain/x")
    assert caller.read_answer()[0] == 200
    send_slowly(caller, b"z" * 6_000_000)
    assert caller.read_answer()[0] == 413


def test_a_refusal_for_lack_of_memory_reaches_a_caller_that_is_still_sending(port):
    """Guards against a reset that overtakes the promise that a request has not run."""
    # These announce more than there is memory for.
    others = [Caller(port, "/plain/x", 4_000_000) for _ in range(12)]
    time.sleep(0.5)
    caller = Caller(port, "/plain/x")
    assert caller.read_answer()[0] == 200
    send_slowly(caller, b"z" * 4_000_000)
    assert caller.read_answer()[0] == 503
    for other in others:
        other.connection.close()


def test_an_idle_connection_is_closed_without_reading_on(ingress, port):
    """Guards against reading a request that will not be answered, which nobody could repeat."""
    caller = Caller(port, "/plain/x")
    assert caller.read_answer()[0] == 200
    ingress.process.send_signal(signal.SIGTERM)
    assert caller.connection.recv(1) == b""
    with pytest.raises(ConnectionError):
        for _ in range(20):
            caller.connection.sendall(b"z")
            time.sleep(0.05)
