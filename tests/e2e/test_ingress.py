"""The ingress as a real process, against stand-ins of the platform's store and an engine."""

import http.client
import json
import signal
import socket
import subprocess
import sys
import time

import pytest

from tests.e2e.platform_standins import (
    EngineHandler,
    EngineState,
    Server,
    StoreHandler,
    StoreState,
    configuration,
)

START_SECONDS = 20.0
STOP_SECONDS = 10.0


def free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Ingress:
    """One started process; ``lines`` are its log after it ended."""

    def __init__(self, tmp_path, store):
        self.port, self.ready_port = free_port(), free_port()
        peer_port = free_port()
        settings = tmp_path / "node.conf"
        settings.write_text(
            f"nodeName=g1\nip=127.0.0.1\nzone=dc\nlisten.front=127.0.0.1:{self.port}\n"
            f"listen.ready=127.0.0.1:{self.ready_port}\ninternalPorts={peer_port},{peer_port}\n"
            f"platform.address={store.address}\nlimits.memoryMb=150\nbounds.graceS=8\n"
        )
        command = ["-m", "guavacleat", "ingress", f"--settings={settings}", "--metrics_port=0"]
        self.process = subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE)

    def ask(self, path, port=None, method="POST", headers=None, body=b""):
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port, timeout=10)
        own = {"Host": "h.example", "Attempt-Id": "r1", "Key": "k1", "Deadline-Ms": "4000"}
        connection.request(method, path, body, {**own, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), response

    def is_ready(self):
        try:
            return self.ask("/-/readyz", self.ready_port, "GET")[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        deadline = time.monotonic() + START_SECONDS
        while not self.is_ready():
            assert time.monotonic() < deadline, "not ready in time"
            time.sleep(0.05)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        out, _ = self.process.communicate(timeout=STOP_SECONDS)
        return [json.loads(line) for line in out.splitlines()]


@pytest.fixture
def engine_state():
    return EngineState()


@pytest.fixture
def store_state():
    return StoreState()


@pytest.fixture
def ingress(tmp_path, store_state, engine_state):
    store, engine = Server(StoreHandler, store_state), Server(EngineHandler, engine_state)
    store_state.write("config", "main", configuration())
    entry = {"service": "svc", "address": engine.address, "zone": "dc", "state": "ready"}
    store_state.write("servers", "i-1", entry)
    found = Ingress(tmp_path, store)
    yield found
    engine_state.release.set()
    found.process.kill()
    found.process.wait()
    store.close()
    engine.close()


def test_plain_and_stream_requests_are_served_and_explained(ingress, engine_state):
    ingress.wait_ready()
    status, body, _ = ingress.ask("/plain/x", body=b"hello", headers={"Kv-From": "forged"})
    assert (status, body) == (200, b"echo:hello")
    _, headers, _ = engine_state.asked[0]
    assert headers["expect-instance"] == "i-1"
    assert headers["tenant"] == "t1"
    assert not {"kv-from", "key"} & {name.lower() for name in headers}
    status, body, _ = ingress.ask("/stream/x")
    assert status == 200 and body.count(b"data: x") == 3
    assert ingress.ask("/nowhere/")[0] == 404
    assert ingress.ask("/plain/x", headers={"Key": "unknown"})[0] == 401
    lines = ingress.stop()
    kinds = [line["message_type"] for line in lines]
    assert kinds[0] == "process:started" and kinds[-1] == "process:stopped"
    outcomes = [line["outcome"] for line in lines if line["message_type"] == "request:end"]
    assert outcomes == ["ANSWERED", "ANSWERED", "UNKNOWN_ROUTE", "UNKNOWN_KEY"]


def test_a_change_of_configuration_is_in_force_within_its_bound(ingress, store_state):
    ingress.wait_ready()
    changed = configuration(version=2)
    changed["routes"] = changed["routes"][:1]
    store_state.write("config", "main", changed)
    deadline = time.monotonic() + 2.0
    while ingress.ask("/stream/x")[0] != 404:
        assert time.monotonic() < deadline, "the dropped route is still served"


def test_a_planned_stop_finishes_the_stream_that_runs(ingress, engine_state):
    """
    Symptom: an agent's listing stops in the middle whenever gateways are renewed.
    Sequence: a stream runs; SIGTERM comes; the stream's engine goes on.
    Cause: a stop must wait for what runs, and be seen as not ready meanwhile.
    """
    ingress.wait_ready()
    engine_state.release.clear()
    connection = http.client.HTTPConnection("127.0.0.1", ingress.port, timeout=10)
    connection.request(
        "POST", "/stream/x", b"", {"Host": "h.example", "Attempt-Id": "r2", "Key": "k1"}
    )
    response = connection.getresponse()
    ingress.process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + 2.0
    while ingress.is_ready():
        assert time.monotonic() < deadline, "still ready after SIGTERM"
    engine_state.release.set()
    assert response.read().count(b"data: x") == 3
    assert ingress.process.wait(timeout=STOP_SECONDS) == 0


def test_settings_are_checked_without_a_start(tmp_path):
    settings = tmp_path / "node.conf"
    settings.write_text("nodeName=g1\n")
    command = [sys.executable, "-m", "guavacleat", "ingress", "--check", f"--settings={settings}"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=START_SECONDS)
    assert done.returncode != 0
    assert "ip" in done.stderr and "Remedy" in done.stderr


FOREIGN_ENTRIES = [
    "not a map",
    None,
    {},
    {"service": "svc", "address": "nowhere", "state": "ready"},
    {"service": ["svc"], "address": "127.0.0.1:1", "state": "ready"},
    {"service": "svc", "address": "127.0.0.1:1", "state": "resting"},
    {"service": "nobody-knows", "address": "127.0.0.1:1", "state": "ready"},
    {"service": "svc", "address": "127.0.0.1:1", "state": "ready", "born": "yesterday"},
]


def test_entries_of_other_writers_name_no_endpoint_and_the_others_hold(ingress, store_state):
    """
    Symptom: requests fail, or the gateway hears of no change any more.
    Sequence: another writer puts entries of other forms beside the engine's own, at the start and
    while the gateway runs; then the configuration changes.
    Cause: what cannot be read must name no endpoint, and hide nothing else.
    """
    for number, spec in enumerate(FOREIGN_ENTRIES):
        store_state.write("servers", f"foreign-{number}", spec)
    ingress.wait_ready()
    for number, spec in enumerate(FOREIGN_ENTRIES):
        store_state.write("servers", f"late-{number}", spec)
    for _ in range(6):
        assert ingress.ask("/plain/x", body=b"hello")[:2] == (200, b"echo:hello")
    lines = ingress.stop()
    unreadable = [line for line in lines if line["message_type"] == "endpoint:unreadable"]
    assert {line["endpoint"] for line in unreadable} >= {"foreign-0", "foreign-1", "late-0"}
    assert not [line for line in lines if line["message_type"] == "watch:error"]


def test_an_engine_that_starts_again_under_its_id_is_used_again(ingress, store_state):
    """
    Symptom: a service has no endpoint although its engine is back.
    Sequence: an engine drains, and starts again under its id; its former process's last heartbeat
    takes effect late.
    Cause: that heartbeat has the newer revision and the older start.
    """
    own = store_state.objects["servers", "i-1"]["spec"]
    store_state.write("servers", "i-1", {**own, "born": 1000, "state": "draining"})
    store_state.write("servers", "i-1", {**own, "born": 2000})
    ingress.wait_ready()
    store_state.write("servers", "i-1", {**own, "born": 1000, "state": "draining"})
    time.sleep(0.5)
    assert ingress.ask("/plain/x", body=b"hello")[:2] == (200, b"echo:hello")
    lines = ingress.stop()
    states = [line["state"] for line in lines if line["message_type"] == "endpoint:changed"]
    assert states == ["ready"]
