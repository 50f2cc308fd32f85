"""Time until a gateway observes changes, with separate processes on loopback.

Starts a store, an engine, two sidecars and a gateway, and measures, polling every 5 ms:
(a) from the return of `ctl apply` until the gateway's /status shows the new version;
(b) from SIGTERM to a sidecar until the gateway shows its endpoint as draining;
(c) from SIGKILL to the other sidecar until its lease has expired and the gateway lists no live
endpoint of the service.
Prints the median of each over the rounds.

Usage: python benchmarks/visibility.py [ROUNDS]
"""

import json
import signal
import statistics
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import guavacleat

NILE = Path(guavacleat.__file__).parent / "examples" / "nile.json5"
POLL_SECONDS = 0.005
TIMEOUT_SECONDS = 30.0


def start(*args):
    process = subprocess.Popen(
        [sys.executable, "-m", "guavacleat", *args],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return process, process.stdout.readline().split()[-1]


def endpoints(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as response:
        return json.loads(response.read())["endpoints"]


def time_until(predicate):
    began = time.monotonic()
    while time.monotonic() - began < TIMEOUT_SECONDS:
        if predicate():
            return time.monotonic() - began
        time.sleep(POLL_SECONDS)
    return float("nan")


def run_round():
    store, store_url = start("standin", "store")
    engine, engine_url = start("standin", "engine")
    common = ["--service=enquiry-lm", "--listen=127.0.0.1:0", f"--engine={engine_url}"]
    draining, _ = start("sidecar", "--name=enquiry-lm-1", *common, f"--store={store_url}")
    killed, _ = start("sidecar", "--name=enquiry-lm-2", *common, f"--store={store_url}")
    ctl = [sys.executable, "-m", "guavacleat", "ctl", f"--store={store_url}", "apply", str(NILE)]
    subprocess.run(ctl, capture_output=True, check=True)
    gateway, gateway_url = start("gateway", "--listen=127.0.0.1:0", f"--store={store_url}")
    time_until(lambda: len(endpoints(gateway_url)) == 2)
    subprocess.run(ctl, capture_output=True, check=True)
    applied = time_until(lambda: _config_version(gateway_url) == 2)
    draining.send_signal(signal.SIGTERM)
    drained = time_until(lambda: endpoints(gateway_url)["enquiry-lm-1"]["draining"])
    killed.kill()
    expired = time_until(lambda: _not_live(gateway_url))
    for process in (gateway, engine, store, draining):
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=TIMEOUT_SECONDS)
    killed.wait(timeout=TIMEOUT_SECONDS)
    return applied, drained, expired


def _config_version(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as response:
        return json.loads(response.read())["config_version"]


def _not_live(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as response:
        return json.loads(response.read())["live"].get("enquiry-lm", []) == []


def main(rounds=3):
    figures = [run_round() for _ in range(rounds)]
    applied, drained, expired = (list(column) for column in zip(*figures, strict=True))
    print(
        "applied configuration in force at the gateway:"
        f" median {statistics.median(applied) * 1e3:.0f} ms"
    )
    print(f"draining visible at the gateway: median {statistics.median(drained) * 1e3:.0f} ms")
    print(f"killed sidecar no longer routed to: median {statistics.median(expired):.2f} s")


if __name__ == "__main__":
    main(*[int(arg) for arg in sys.argv[1:2]])
