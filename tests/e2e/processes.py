"""Helpers that start the system's processes on loopback and send them requests."""

import http.client
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import guavacleat

NILE = Path(guavacleat.__file__).parent / "examples" / "nile.json5"
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 40.0
LONG_OUTPUT_TOKENS = 200


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class Daemon:
    """A started process, with the address from its ready line."""

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
        return self.process.wait(timeout=STOP_TIMEOUT_SECONDS)

    def kill(self) -> None:
        self.killed = True
        self.process.kill()
        self.process.wait(timeout=STOP_TIMEOUT_SECONDS)


def get_text(address: str, path: str) -> str:
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT_SECONDS)
    connection.request("GET", path)
    return connection.getresponse().read().decode()


def get_json(address: str, path: str) -> dict:
    return json.loads(get_text(address, path))


def wait_until_routable(address: str, endpoints: int = 2) -> None:
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        status = get_json(address, "/status")
        if status["config_version"] >= 1 and len(status["endpoints"]) == endpoints:
            return
        time.sleep(0.1)
    raise AssertionError(f"gateway not routable in time: {status}")


def complete(address: str, body: dict) -> list[dict]:
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT_SECONDS)
    connection.request("POST", "/v1/completions", json.dumps(body), {"content-type": "text/json"})
    response = connection.getresponse()
    assert response.status == 200, response.read()
    raw = response.read().decode()
    events = [chunk.removeprefix("data: ") for chunk in raw.split("\n\n") if chunk]
    return [json.loads(event) for event in events if event != "[DONE]"]


def open_stream(address: str, body: dict):
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT_SECONDS)
    connection.request("POST", "/v1/completions", json.dumps(body), {"content-type": "text/json"})
    response = connection.getresponse()
    assert response.status == 200, response.read()
    return response


def read_events(response):
    """Yield each SSE event's JSON as it arrives."""
    for line in response:
        line = line.decode().strip()
        if line.startswith("data: ") and line != "data: [DONE]":
            yield json.loads(line.removeprefix("data: "))


def wait_until_live(address: str, service: str, names: list[str]) -> None:
    """Wait until the gateway uses exactly these endpoints of the service."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        live = get_json(address, "/status")["live"][service]
        if sorted(live) == sorted(names):
            return
        time.sleep(0.1)
    raise AssertionError(f"the gateway still uses {live}")


def run_ctl(store: Daemon, *arguments: str) -> str:
    """Run ``guavacleat ctl`` and return its output."""
    command = [sys.executable, "-m", "guavacleat", "ctl", f"--store={store.address}", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=START_TIMEOUT_SECONDS)
    assert done.returncode == 0, done.stderr
    return done.stdout


def apply_nile(store: Daemon) -> None:
    """Apply the Nile example settings with ``guavacleat ctl``."""
    command = [sys.executable, "-m", "guavacleat", "ctl", f"--store={store.address}"]
    applied = subprocess.run(
        [*command, "apply", str(NILE)],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_SECONDS,
    )
    assert applied.returncode == 0, applied.stderr


def post(address: str, path: str, body: dict, key: str | None = None):
    """POST ``body``; return the status, the headers and the body's text."""
    host, port = address.removeprefix("http://").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=START_TIMEOUT_SECONDS)
    headers = {"idempotency-key": key} if key else {}
    connection.request("POST", path, json.dumps(body), headers)
    response = connection.getresponse()
    return response.status, response.headers, response.read().decode()
