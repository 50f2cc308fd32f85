"""Endpoints whose heads or bodies never end, over real sockets."""

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from tests.e2e.ingress_process import Ingress
from tests.e2e.platform_standins import (
    EngineHandler,
    EngineState,
    Server,
    StoreHandler,
    configuration,
)

MAKE_CALL = Path(__file__).parent / "make_call.py"
TIMEOUT_MS = 4000
REQUESTS = 8
BYTES_PER_SECOND = 4_000_000
PIECE_BYTES = 64_000
SENDING_SECONDS = 3.0
# What eight answers that never end may cost: as much for each byte as a long answer does.
MAX_MEMORY_BYTES = 20_000_000
MAX_PROCESSOR_SECONDS = 0.5
MAX_PROCESSOR_SECONDS_PER_BYTE = 60e-9
MAX_OTHER_SECONDS = 0.5
# A rejection that the head tells is acted on within this time.
MAX_REJECTED_SECONDS = 1.0

SEAL = b"Attempt-Id: r1\r\nResponse-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: r1\r\n"
REQUEST = b"POST /other/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nKey: k1\r\n"
CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
COMMENTS = b":\n\n" * 1000
EVENT_CHUNK = b"%x\r\n%s\r\n" % (len(COMMENTS), COMMENTS)
# What an endpoint sends first, and then without end.
REJECTIONS = {
    "rejected-no-length": (NOT_RUN + b"Connection: close\r\n\r\n", b"x" * 1024),
    "rejected-chunked": (NOT_RUN + CHUNKED, CHUNK),
    "rejected-huge-length": (NOT_RUN + b"Content-Length: 9000000000\r\n\r\n", b"x" * 1024),
    "misdirected": (b"HTTP/1.1 421 Other\r\nAttempt-Id: r1\r\n" + CHUNKED, CHUNK),
}
HEADS = {
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "header-line": (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1024),
    "header-lines": (b"HTTP/1.1 200 OK\r\n", b"X: x\r\n"),
    "newlines": (b"", b"\r\n"),
    "binary": (b"", bytes(range(256))),
}
BODIES = {
    "chunks-of-one-byte": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, b"1\r\nx\r\n"),
    "chunk-extension": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED + b"1;", b"x" * 1024),
    "chunk-size": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, b"0" * 1024),
    "trailers": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED + b"0\r\n", b"X: x\r\n"),
    "failure": (b"HTTP/1.1 500 Failed\r\n" + SEAL + CHUNKED, CHUNK),
    "comments": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, EVENT_CHUNK),
    "one-event": (b"HTTP/1.1 200 OK\r\n" + SEAL + CHUNKED, CHUNK),
    "unsealed": (b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n" + CHUNKED, CHUNK),
}


# The same without end in what a caller sends.
REQUESTS_WITHOUT_END = {
    "request-line": (b"GET /", b"x" * 1024),
    "header-line": (b"GET /other/x HTTP/1.1\r\nX: ", b"x" * 1024),
    "header-lines": (b"GET /other/x HTTP/1.1\r\n", b"X: x\r\n"),
    "newlines": (b"", b"\r\n"),
    "chunks": (REQUEST + CHUNKED, CHUNK),
    "chunks-of-one-byte": (REQUEST + CHUNKED, b"1\r\nx\r\n"),
    "chunk-extension": (REQUEST + CHUNKED + b"1;", b"x" * 1024),
    "trailers": (REQUEST + CHUNKED + b"0\r\n", b"X: x\r\n"),
    "pipelined": (b"", REQUEST + b"Content-Length: 0\r\n\r\n"),
}
CALLS = {
    "body-no-length": (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"x" * 1024),
    "body-chunked": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, CHUNK),
    "header-line": HEADS["header-line"],
    "header-lines": HEADS["header-lines"],
    "interim": HEADS["interim"],
    "chunks-of-one-byte": (b"HTTP/1.1 200 OK\r\n" + CHUNKED, b"1\r\nx\r\n"),
}
MAX_CALL_SECONDS = 6.0


class EndlessEndpoint:
    """An endpoint that answers each request with ``start``, then ``piece`` without end."""

    def __init__(self, start, piece):
        self.start, self.piece = start, piece * (PIECE_BYTES // len(piece) or 1)
        self.requests = 0
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection):
        with contextlib.suppress(OSError), connection:
            if not connection.recv(PIECE_BYTES):
                return
            self.requests += 1
            connection.sendall(self.start)
            while True:
                connection.sendall(self.piece)
                self.sent_bytes += len(self.piece)
                time.sleep(len(self.piece) / BYTES_PER_SECOND)

    def close(self):
        self.listener.close()


def send_without_end(port, start, piece):
    """Send these bytes until the connection ends, or for a while; return how many were sent."""
    sent_bytes = 0
    piece *= PIECE_BYTES // len(piece) or 1
    until = time.monotonic() + SENDING_SECONDS
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(SENDING_SECONDS)
        with contextlib.suppress(OSError):
            connection.sendall(start)
            while time.monotonic() < until:
                connection.sendall(piece)
                sent_bytes += len(piece)
                time.sleep(len(piece) / BYTES_PER_SECOND)
    return sent_bytes


class Usage:
    """Memory and processor time of a process."""

    def __init__(self, pid):
        with open(f"/proc/{pid}/status") as status:
            fields = dict(line.split(":", 1) for line in status)
        self.memory_bytes = int(fields["VmRSS"].split()[0]) * 1024
        with open(f"/proc/{pid}/stat") as stat:
            values = stat.read().rpartition(")")[2].split()
        self.seconds = (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


class Deployment:
    """An ingress, an endless and a sound endpoint of a service, and a sound one of another."""

    def __init__(self, tmp_path, store_state, start, piece):
        self.store = Server(StoreHandler, store_state)
        self.endless = EndlessEndpoint(start, piece)
        self.sound = Server(EngineHandler, EngineState())
        self.other = Server(EngineHandler, EngineState())
        store_state.write("config", "main", self._configuration())
        for name, service, endpoint in [
            ("i-1", "svc", self.endless),
            ("i-2", "svc", self.sound),
            ("i-3", "other", self.other),
        ]:
            entry = {
                "service": service,
                "address": endpoint.address,
                "zone": "dc",
                "state": "ready",
            }
            store_state.write("servers", name, entry)
        self.ingress = Ingress(tmp_path, self.store, "bounds.retryBudgetRatio=10\n")
        self.ingress.wait_ready()

    @staticmethod
    def _configuration():
        config = configuration(1, TIMEOUT_MS)
        plain = next(route for route in config["routes"] if route["name"] == "/plain/")
        plain.update(kind="idempotent", maxAttempts=2)
        other = {**plain, "name": "/other/", "pathPrefix": "/other/", "service": "other"}
        config["routes"].append(other)
        config["services"].append({"name": "other", "maxConns": 10})
        return config

    def play(self, path):
        """Send requests at once, with others beside them; return what came of it."""
        return self.run_beside(lambda result: self._send(path, result.answers))

    def play_callers(self, start, piece):
        """Send requests that never end; return what came of it."""

        def send(result):
            sent_bytes = send_without_end(self.ingress.port, start, piece)
            result.endless_bytes += sent_bytes

        return self.run_beside(send)

    def run_beside(self, work):
        """Call ``work(result)`` in several threads, with other requests beside them."""
        result = Result()
        before = Usage(self.ingress.process.pid)
        done = threading.Event()
        watching = threading.Thread(target=self._watch, args=(result, done))
        watching.start()
        senders = [threading.Thread(target=work, args=(result,)) for _ in range(REQUESTS)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        done.set()
        watching.join()
        after = Usage(self.ingress.process.pid)
        result.endless_bytes += self.endless.sent_bytes
        result.seconds = after.seconds - before.seconds
        result.memory_bytes = result.most_memory_bytes - before.memory_bytes
        return result

    def _send(self, path, answers):
        started_at = time.monotonic()
        try:
            status = self.ingress.request(path)[0]
        except (OSError, http.client.HTTPException):
            status = "broken"
        answers.append((status, time.monotonic() - started_at))

    def _watch(self, result, done):
        while not done.is_set():
            started_at = time.monotonic()
            assert self.ingress.request("/other/x")[0] == 200
            seconds = time.monotonic() - started_at
            result.longest_other_seconds = max(result.longest_other_seconds, seconds)
            usage = Usage(self.ingress.process.pid)
            result.most_memory_bytes = max(result.most_memory_bytes, usage.memory_bytes)
            time.sleep(0.05)

    def close(self):
        self.ingress.process.kill()
        self.ingress.process.wait()
        for server in (self.store, self.endless, self.sound, self.other):
            server.close()


class Result:
    """What came of endless answers.

    :ivar answers: status, or ``"broken"``, and seconds of each request.
    """

    def __init__(self):
        self.answers = []
        self.longest_other_seconds = 0.0
        self.most_memory_bytes = 0
        self.memory_bytes = 0
        self.seconds = 0.0
        self.endless_bytes = 0

    def check(self):
        """Check that memory is bounded, and that neither the loop nor others are held up."""
        assert self.memory_bytes < MAX_MEMORY_BYTES
        allowed = MAX_PROCESSOR_SECONDS + MAX_PROCESSOR_SECONDS_PER_BYTE * self.endless_bytes
        assert self.seconds < allowed
        assert self.longest_other_seconds < MAX_OTHER_SECONDS


@pytest.fixture
def deploy(tmp_path, store_state):
    """A function that starts a :class:`Deployment` whose endless endpoint sends these bytes."""
    with contextlib.ExitStack() as started:

        def start_deployment(start, piece):
            deployment = Deployment(tmp_path, store_state, start, piece)
            started.callback(deployment.close)
            return deployment

        yield start_deployment


@pytest.mark.parametrize("path", ["/plain/x", "/stream/x"])
@pytest.mark.parametrize("form", REJECTIONS)
def test_a_rejection_whose_body_never_ends_is_acted_on_at_once(deploy, form, path):
    """Guards against requests that wait for a body which nobody needs, or keep it in memory."""
    deployment = deploy(*REJECTIONS[form])
    result = deployment.play(path)
    result.check()
    assert deployment.endless.requests
    assert [status for status, _ in result.answers] == [200] * REQUESTS
    assert max(seconds for _, seconds in result.answers) < MAX_REJECTED_SECONDS


@pytest.mark.parametrize("path", ["/plain/x", "/stream/x"])
@pytest.mark.parametrize("form", [*HEADS, *BODIES])
def test_an_answer_that_never_ends_harms_no_other_request(deploy, form, path):
    """Guards against endless heads and bodies that take memory without bound, or hold up all."""
    deployment = deploy(*{**HEADS, **BODIES}[form])
    result = deployment.play(path)
    result.check()
    assert deployment.endless.requests
    assert max(seconds for _, seconds in result.answers) < TIMEOUT_MS / 1000 + MAX_OTHER_SECONDS


@pytest.mark.parametrize("form", REQUESTS_WITHOUT_END)
def test_a_request_that_never_ends_harms_no_other_request(deploy, form):
    """Guards against callers' endless heads and bodies that take memory, or hold up all."""
    deployment = deploy(b"", b"x")
    deployment.play_callers(*REQUESTS_WITHOUT_END[form]).check()


@pytest.mark.parametrize("client", ["pooled", "engine"])
@pytest.mark.parametrize("form", CALLS)
def test_a_call_whose_answer_never_ends_fails_within_its_bounds(form, client):
    """Guards against status reports and copies of memory whose answers take all memory."""
    endpoint = EndlessEndpoint(*CALLS[form])
    command = [sys.executable, MAKE_CALL, client, endpoint.address]
    done = subprocess.run(command, capture_output=True, timeout=60)
    endpoint.close()
    result = json.loads(done.stdout)
    assert result["bytes"] < MAX_MEMORY_BYTES
    assert result["seconds"] < MAX_CALL_SECONDS
    allowed = MAX_PROCESSOR_SECONDS + MAX_PROCESSOR_SECONDS_PER_BYTE * endpoint.sent_bytes
    assert result["processor_seconds"] < allowed
