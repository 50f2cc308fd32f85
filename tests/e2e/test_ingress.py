"""The ingress as a process, against stand-ins of the platform's store and an engine."""

import http.client
import signal
import subprocess
import sys
import time

from tests.e2e.ingress_process import START_TIMEOUT_SECONDS, STOP_TIMEOUT_SECONDS
from tests.e2e.platform_standins import configuration


def test_plain_and_stream_requests_are_served_and_explained(ingress, engine_state):
    ingress.wait_ready()
    status, body, _ = ingress.request("/plain/x", body=b"hello", headers={"Kv-From": "forged"})
    assert (status, body) == (200, b"echo:hello")
    _, headers, _ = engine_state.requests[0]
    assert headers["expect-instance"] == "i-1"
    assert headers["tenant"] == "t1"
    assert not {"kv-from", "key"} & {name.lower() for name in headers}
    status, body, _ = ingress.request("/stream/x")
    assert status == 200 and body.count(b"data: x") == 3
    assert ingress.request("/nowhere/")[0] == 404
    assert ingress.request("/plain/x", headers={"Key": "unknown"})[0] == 401
    lines = ingress.stop()
    types = [line["message_type"] for line in lines]
    assert types[0] == "process:started" and types[-1] == "process:stopped"
    outcomes = [line["outcome"] for line in lines if line["message_type"] == "request:end"]
    assert outcomes == ["ANSWERED", "ANSWERED", "UNKNOWN_ROUTE", "UNKNOWN_KEY"]


def test_configuration_change_takes_effect_in_time(ingress, store_state):
    ingress.wait_ready()
    changed = configuration(version=2)
    changed["routes"] = changed["routes"][:1]
    store_state.write("config", "main", changed)
    deadline = time.monotonic() + 2.0
    while ingress.request("/stream/x")[0] != 404:
        assert time.monotonic() < deadline, "the dropped route is still served"


def test_graceful_stop_finishes_running_stream(ingress, engine_state):
    """Guards against SIGTERM cutting a running stream; the ingress must be unready meanwhile."""
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
    assert ingress.process.wait(timeout=STOP_TIMEOUT_SECONDS) == 0


def test_check_flag_reports_invalid_settings(tmp_path):
    settings = tmp_path / "node.conf"
    settings.write_text("nodeName=g1\n")
    command = [sys.executable, "-m", "guavacleat", "ingress", "--check", f"--settings={settings}"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=START_TIMEOUT_SECONDS)
    assert done.returncode != 0
    assert "ip" in done.stderr and "Remedy" in done.stderr


INVALID_RECORDS = [
    "not a map",
    None,
    {},
    {"service": "svc", "address": "nowhere", "state": "ready"},
    {"service": ["svc"], "address": "127.0.0.1:1", "state": "ready"},
    {"service": "svc", "address": "127.0.0.1:1", "state": "resting"},
    {"service": "nobody-knows", "address": "127.0.0.1:1", "state": "ready"},
    {"service": "svc", "address": "127.0.0.1:1", "state": "ready", "born": "yesterday"},
]


def test_invalid_endpoint_records_are_ignored_and_valid_ones_kept(ingress, store_state):
    """
    Guards against invalid endpoint records, present at start or written later, that break routing
    or the watch.
    """
    for number, spec in enumerate(INVALID_RECORDS):
        store_state.write("servers", f"foreign-{number}", spec)
    ingress.wait_ready()
    for number, spec in enumerate(INVALID_RECORDS):
        store_state.write("servers", f"late-{number}", spec)
    for _ in range(6):
        assert ingress.request("/plain/x", body=b"hello")[:2] == (200, b"echo:hello")
    lines = ingress.stop()
    unreadable = [line for line in lines if line["message_type"] == "endpoint:unreadable"]
    assert {line["endpoint"] for line in unreadable} >= {"foreign-0", "foreign-1", "late-0"}
    assert not [line for line in lines if line["message_type"] == "watch:error"]


def test_engine_restarted_under_the_same_id_is_used_again(ingress, store_state):
    """
    Guards against a late heartbeat of an engine's previous process, with a newer revision but an
    older start time, that hides the restarted engine.
    """
    record = store_state.objects["servers", "i-1"]["spec"]
    store_state.write("servers", "i-1", {**record, "born": 1000, "state": "draining"})
    store_state.write("servers", "i-1", {**record, "born": 2000})
    ingress.wait_ready()
    store_state.write("servers", "i-1", {**record, "born": 1000, "state": "draining"})
    time.sleep(0.5)
    assert ingress.request("/plain/x", body=b"hello")[:2] == (200, b"echo:hello")
    lines = ingress.stop()
    states = [line["state"] for line in lines if line["message_type"] == "endpoint:changed"]
    assert states == ["ready"]
