"""The ingress as a process, with its settings file."""

import http.client
import json
import signal
import subprocess
import sys
import time

from tests.e2e.processes import free_port

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0


class Ingress:
    """A started ingress; :meth:`stop` returns its log lines.

    :param more_settings: further lines of its settings file.
    """

    def __init__(self, tmp_path, store, more_settings=""):
        self.port, self.ready_port = free_port(), free_port()
        peer_port = free_port()
        settings = tmp_path / "node.conf"
        settings.write_text(
            f"nodeName=g1\nip=127.0.0.1\nzone=dc\nlisten.front=127.0.0.1:{self.port}\n"
            f"listen.ready=127.0.0.1:{self.ready_port}\ninternalPorts={peer_port},{peer_port}\n"
            f"platform.address={store.address}\nlimits.memoryMb=150\nbounds.graceS=8\n{more_settings}"
        )
        command = ["-m", "guavacleat", "ingress", f"--settings={settings}", "--metrics_port=0"]
        self.process = subprocess.Popen([sys.executable, *command], stdout=subprocess.PIPE)

    def request(self, path, port=None, method="POST", headers=None, body=b""):
        connection = http.client.HTTPConnection("127.0.0.1", port or self.port, timeout=10)
        own = {"Host": "h.example", "Attempt-Id": "r1", "Key": "k1", "Deadline-Ms": "4000"}
        connection.request(method, path, body, {**own, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), response

    def is_ready(self):
        try:
            return self.request("/-/readyz", self.ready_port, "GET")[0] == 200
        except OSError:
            return False

    def wait_ready(self):
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not self.is_ready():
            assert time.monotonic() < deadline, "not ready in time"
            time.sleep(0.05)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        out, _ = self.process.communicate(timeout=STOP_TIMEOUT_SECONDS)
        return [json.loads(line) for line in out.splitlines()]
