"""How soon a gateway sees changes, as separate processes on loopback.

Starts store, one engine, two sidecars and a gateway. Times (a) from `ctl apply` of a new
version returning until the gateway's /status shows it in force; (b) from SIGTERM to a sidecar
until the gateway shows the endpoint as draining, polling every 5 ms.
Then sends SIGKILL to a second sidecar and times until the gateway lists no live endpoint of
the service (the dead one's lease lapses). Prints the median of both over the rounds.

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
POLL = 0.005
LIMIT = 30.0


def start(*args):
    process = subprocess.Popen(
        [sys.executable, "-m", "guavacleat", *args],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    return process, process.stdout.readline().split()[-1]


def endpoints(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as answer:
        return json.loads(answer.read())["endpoints"]


def until(predicate):
    began = time.monotonic()
    while time.monotonic() - began < LIMIT:
        if predicate():
            return time.monotonic() - began
        time.sleep(POLL)
    return float("nan")


def one_round():
    store, store_url = start("standin", "store")
    engine, engine_url = start("standin", "engine")
    common = ["--service=enquiry-lm", "--listen=127.0.0.1:0", f"--engine={engine_url}"]
    leaving, _ = start("sidecar", "--name=enquiry-lm-1", *common, f"--store={store_url}")
    dying, _ = start("sidecar", "--name=enquiry-lm-2", *common, f"--store={store_url}")
    ctl = [sys.executable, "-m", "guavacleat", "ctl", f"--store={store_url}", "apply", str(NILE)]
    subprocess.run(ctl, capture_output=True, check=True)
    gateway, gateway_url = start("gateway", "--listen=127.0.0.1:0", f"--store={store_url}")
    until(lambda: len(endpoints(gateway_url)) == 2)
    subprocess.run(ctl, capture_output=True, check=True)
    in_force = until(lambda: _config_version(gateway_url) == 2)
    leaving.send_signal(signal.SIGTERM)
    drained = until(lambda: endpoints(gateway_url)["enquiry-lm-1"]["draining"])
    dying.kill()
    lapsed = until(lambda: _not_live(gateway_url))
    for process in (gateway, engine, store, leaving):
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=LIMIT)
    dying.wait(timeout=LIMIT)
    return in_force, drained, lapsed


def _config_version(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as answer:
        return json.loads(answer.read())["config_version"]


def _not_live(gateway_url):
    with urllib.request.urlopen(f"{gateway_url}/status", timeout=5) as answer:
        return json.loads(answer.read())["live"].get("enquiry-lm", []) == []


def main(rounds=3):
    figures = [one_round() for _ in range(rounds)]
    in_force, drained, lapsed = (list(column) for column in zip(*figures, strict=True))
    print(
        "applied configuration in force at the gateway:"
        f" median {statistics.median(in_force) * 1e3:.0f} ms"
    )
    print(f"planned stop visible at the gateway: median {statistics.median(drained) * 1e3:.0f} ms")
    print(f"killed sidecar no longer routed to: median {statistics.median(lapsed):.2f} s")


if __name__ == "__main__":
    main(*[int(arg) for arg in sys.argv[1:2]])
