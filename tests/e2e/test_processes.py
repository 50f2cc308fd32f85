"""End to end as separate processes: store, two engines, two sidecars and a gateway on loopback.

Every process is started by this harness (not by a daemon) and stopped by its own pid with
SIGTERM, which must be a graceful stop (exit status 0). Waits are bounded; assertions are on what
callers received, never on timings.
"""

import http.client
import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

import guavacleat

NILE = Path(guavacleat.__file__).parent / "examples" / "nile.json5"
START_TIMEOUT = 20.0
STOP_TIMEOUT = 40.0
REQUESTS = 8
LONG = 200
TOKENS_BEFORE_KILL = 5


class Daemon:
    """One started process and the address it printed on its ready line."""

    def __init__(self, *args: str):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "guavacleat", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        line = self.process.stdout.readline().split()
        assert line[:1] == ["ready"], f"{args[0]} did not start: {line}"
        self.address = line[-1]
        self.killed = False

    def stop(self) -> int:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=STOP_TIMEOUT)

    def kill(self) -> None:
        self.killed = True
        self.process.kill()
        self.process.wait(timeout=STOP_TIMEOUT)


@pytest.fixture
def system():
    started = []

    def start(*args):
        daemon = Daemon(*args)
        started.append(daemon)
        return daemon

    store = start("standin", "store", "--listen=127.0.0.1:0")
    sidecars_by_name = {}
    for n in (1, 2):
        engine = start(
            "standin", "engine", "--listen=127.0.0.1:0", f"--name=e{n}", f"--output_length={LONG}"
        )
        sidecars_by_name[f"enquiry-lm-{n}"] = start(
            "sidecar",
            f"--name=enquiry-lm-{n}",
            "--service=enquiry-lm",
            "--listen=127.0.0.1:0",
            f"--engine={engine.address}",
            f"--store={store.address}",
        )
    applied = subprocess.run(
        [sys.executable, "-m", "guavacleat", "ctl", f"--store={store.address}", "apply", str(NILE)],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT,
    )
    assert applied.returncode == 0, applied.stderr
    gateway = start("gateway", "--listen=127.0.0.1:0", f"--store={store.address}")
    _wait_routable(gateway.address)
    gateway.sidecars_by_name = sidecars_by_name
    gateway.start_another = lambda: start(
        "gateway", "--listen=127.0.0.1:0", f"--store={store.address}"
    )
    yield gateway
    codes = [daemon.stop() for daemon in reversed(started) if not daemon.killed]
    assert codes == [0] * len(codes), "a planned stop must be graceful"


def _get_text(address: str, path: str) -> str:
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT)
    connection.request("GET", path)
    return connection.getresponse().read().decode()


def _get_json(address: str, path: str) -> dict:
    return json.loads(_get_text(address, path))


def _wait_routable(address: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        status = _get_json(address, "/status")
        if status["config_version"] >= 1 and len(status["endpoints"]) == 2:
            return
        time.sleep(0.1)
    raise AssertionError(f"gateway not routable in time: {status}")


def _complete(address: str, body: dict) -> list[dict]:
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT)
    connection.request("POST", "/v1/completions", json.dumps(body), {"content-type": "text/json"})
    response = connection.getresponse()
    assert response.status == 200, response.read()
    raw = response.read().decode()
    events = [chunk.removeprefix("data: ") for chunk in raw.split("\n\n") if chunk]
    return [json.loads(event) for event in events if event != "[DONE]"]


def test_every_token_arrives_once_in_order(system):
    for n in range(REQUESTS):
        body = {
            "service": "enquiry-lm",
            "account": "carrier-delta-tel",
            "priority_class": "interactive",
            "prompt": f"summary of listing {n}",
            "max_tokens": 40,
        }
        events = _complete(system.address, body)
        tokens = [event for event in events if "index" in event]
        assert [event["index"] for event in tokens] == list(range(len(tokens)))
        assert events[-1] == {"finish_reason": "stop", "tokens": len(tokens)}
    status = _get_json(system.address, "/status")
    assert all(row["count"] > 0 for row in status["latency"])
    assert 'guavacleat_inter_token_seconds_bucket{account="carrier-delta-tel"' in _get_text(
        system.address, "/metrics"
    )


def _open_stream(address: str, body: dict):
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT)
    connection.request("POST", "/v1/completions", json.dumps(body), {"content-type": "text/json"})
    response = connection.getresponse()
    assert response.status == 200, response.read()
    return response


def _events(response):
    """Yield each SSE event's JSON as it arrives."""
    for line in response:
        line = line.decode().strip()
        if line.startswith("data: ") and line != "data: [DONE]":
            yield json.loads(line.removeprefix("data: "))


def test_sidecar_killed_mid_stream_resumes_whole_answer(system):
    """
    Symptom: a long summary stops halfway when the endpoint serving it dies.
    Sequence: a 200-token generation starts; after 5 tokens the serving sidecar is SIGKILLed.
    Cause: without resumption the gateway's pull fails and the caller gets an error event;
    the relay must restart it elsewhere with the tokens already sent.
    """
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "inspection-prep summary",
        "max_tokens": LONG,
    }
    events = _events(_open_stream(system.address, body))
    received = [next(events) for _ in range(TOKENS_BEFORE_KILL)]
    serving = [
        name
        for name, endpoint in _get_json(system.address, "/status")["endpoints"].items()
        if endpoint["in_flight"]
    ]
    assert len(serving) == 1
    system.sidecars_by_name[serving[0]].kill()
    received += list(events)
    tokens = [event for event in received if "index" in event]
    assert [event["index"] for event in tokens] == list(range(LONG))
    assert received[-1] == {"finish_reason": "stop", "tokens": LONG}
    assert _get_json(system.address, "/status")["resumes"] == 1


def test_planned_stop_finishes_open_stream_and_takes_no_new_work(system):
    """
    Symptom: a planned stop cuts off a long summary, or the leaving endpoint takes new calls.
    Sequence: a 200-token generation runs on one endpoint; its sidecar gets SIGTERM after 5
    tokens; at once 4 new requests arrive.
    Cause: a stop that closed at once would cut the stream; a sidecar that wrote 'draining' to
    the store before refusing would accept requests arriving during that write.
    """
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG,
    }
    events = _events(_open_stream(system.address, body))
    received = [next(events) for _ in range(TOKENS_BEFORE_KILL)]
    endpoints = _get_json(system.address, "/status")["endpoints"]
    (leaving,) = [name for name, endpoint in endpoints.items() if endpoint["in_flight"]]
    system.sidecars_by_name[leaving].process.send_signal(signal.SIGTERM)
    short = dict(body, max_tokens=10, prompt="caller intent")
    for _ in range(4):
        tokens = [event for event in _complete(system.address, short) if "index" in event]
        assert [event["index"] for event in tokens] == list(range(10))
    received += list(events)
    assert [event["index"] for event in received if "index" in event] == list(range(LONG))
    assert system.sidecars_by_name[leaving].process.wait(timeout=STOP_TIMEOUT) == 0
    served = _get_json(system.address, "/status")["endpoints"]
    assert served[leaving]["draining"]


def test_caller_of_a_killed_gateway_goes_on_through_another(system):
    """
    Symptom: an agent's listing summary stops halfway for good when an entry instance dies.
    Sequence: a 200-token generation runs; after 5 tokens its gateway is SIGKILLed; the caller
    reconnects to another gateway with its stream handle and the tokens it has.
    Cause: progress lived only in the dead gateway; the engine still runs the generation.
    """
    other = system.start_another()
    _wait_routable(other.address)
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG,
    }
    events = _events(_open_stream(system.address, body))
    handle = next(events)["stream"]
    texts = [next(events)["text"] for _ in range(TOKENS_BEFORE_KILL)]
    system.kill()
    rest = _complete(other.address, dict(body, resume={"stream": handle, "received": texts}))
    assert [event["index"] for event in rest if "index" in event] == list(range(len(texts), LONG))
    assert rest[0]["stream"] == handle, "the same generation goes on"
    assert rest[-1]["finish_reason"] == "stop"
