"""Stand-ins and helpers for the review's scripts: store, engines, clients and gateway processes.

Everything runs on loopback addresses and on the real clock. The stand-ins speak what PROTOCOL.md
says; only the standard library is used.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
READ_LIMIT = 1 << 20
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_address():
    """A loopback address of its own, since the gateway's metrics port is the same everywhere."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def format_address(address):
    return f"{address[0]}:{address[1]}"


async def read_head(reader):
    """Read a request or response head; return its first line and headers, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_closed=False):
    """Read a body; raises IncompleteReadError or ConnectionError if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_closed else b""


def encode_head(first, headers):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """An HTTP/1.1 server; ``handle(method, target, headers, body, writer)`` sends the response."""

    def __init__(self, host="127.0.0.1"):
        self.address = (host, free_port(host))
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self._serve, host, port, limit=READ_LIMIT)

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, listings, watches, conditional writes.

    ``link_bytes_per_second`` is the bandwidth of the caller's link for each answer.
    """

    def __init__(self, link_bytes_per_second=None):
        super().__init__()
        self.link_bytes_per_second = link_bytes_per_second
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def write(self, kind, name, spec, finalizers=()):
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdAt": self.revision,
                "finalizers": list(finalizers),
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = stored
        self._changed(kind, stored, False)
        return stored

    def delete(self, kind, name):
        self.revision += 1
        stored = self.objects.pop((kind, name))
        stored["metadata"]["revision"] = self.revision
        self._changed(kind, stored, True)

    def _changed(self, kind, stored, tombstone):
        event = {"object": json.loads(json.dumps(stored)), "tombstone": tombstone}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        names = parts.path.removeprefix("/-/objects/").split("/")
        await asyncio.sleep(0.004)
        if method == "GET" and "watch" in query:
            answer = await self._watch(names[0], int(query["watch"]), int(query["waitMs"]) / 1000)
        elif method == "GET" and len(names) == 1:
            answer = 200, self._list(names[0])
        elif method == "GET":
            stored = self.objects.get(tuple(names))
            answer = (200, stored) if stored else (404, {})
        elif method in ("POST", "PUT"):
            answer = self._conditional_write(method, names[0], json.loads(body))
        else:
            answer = 404, {}
        status, content = answer
        data = json.dumps(content).encode()
        fields = {"Content-Type": "application/json", "Content-Length": len(data)}
        writer.write(encode_head(f"HTTP/1.1 {status} -", fields))
        await self._send_at_link_speed(data, writer)

    async def _send_at_link_speed(self, data, writer):
        if self.link_bytes_per_second is None:
            writer.write(data)
            return
        step = max(1400, int(self.link_bytes_per_second * 0.01))
        for start in range(0, len(data), step):
            writer.write(data[start : start + step])
            await asyncio.sleep(step / self.link_bytes_per_second)

    def _list(self, kind):
        items = [stored for (own, _), stored in sorted(self.objects.items()) if own == kind]
        return {"items": items, "hasMore": False, "storeRevision": self.revision}

    async def _watch(self, kind, since, wait):
        deadline = time.monotonic() + wait
        while True:
            changed = self.changed
            events = [
                event for revision, own, event in self.history if own == kind and revision > since
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _conditional_write(self, method, kind, body):
        metadata = body["metadata"]
        stored = self.objects.get((kind, metadata["name"]))
        if method == "POST" and stored is not None:
            return 409, stored
        if method == "PUT":
            if stored is None:
                return 404, {}
            if (
                metadata.get("revision", stored["metadata"]["revision"])
                != stored["metadata"]["revision"]
            ):
                return 409, stored
        return 200, self.write(
            kind, metadata["name"], body.get("spec"), metadata.get("finalizers", ())
        )


class Engine(Server):
    """An engine of a plain service, in the store under its id.

    ``work_s`` is the time that a request takes, ``answer_bytes`` the size of an answer. Runs are
    recorded in ``runs_by_id``: the clock times of arrival, by Attempt-Id; ``worked_until_by_id``
    has the times at which the engine had handed the whole answer to the connection or gave up.
    """

    def __init__(
        self, store, record, id, service, zone="z1", slots=32, work_s=0.02, answer_bytes=800
    ):
        super().__init__()
        self.store, self.record, self.id, self.service = store, record, id, service
        self.zone, self.slots, self.work_s, self.answer_bytes = zone, slots, work_s, answer_bytes
        self.runs_by_id = collections.defaultdict(list)
        self.worked_until_by_id = {}
        self.rejected = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until = 0.0
        self.state = "ready"

    async def beat(self, delay=0.0):
        """Write the entry at each heartbeat."""
        await asyncio.sleep(delay)
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        spec = {
            "service": self.service,
            "address": format_address(self.address),
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.sequence += 1
        self.store.write("servers", self.id, spec)

    async def handle(self, method, target, headers, body, writer):
        id = headers.get("attempt-id")
        if headers.get("expect-instance", self.id) != self.id or id is None:
            self.rejected += 1
            status = 421 if id else 400
            fields = {"Not-Executed": "1", "Content-Length": 0}
            if id:
                fields["Attempt-Id"] = id
            writer.write(encode_head(f"HTTP/1.1 {status} -", fields))
            return
        self.runs_by_id[id].append(time.monotonic())
        self.record(f"engine {self.id} runs {id}")
        try:
            await self.run(id, target, writer)
        finally:
            self.worked_until_by_id[id] = time.monotonic()

    def answer_size(self, target):
        return self.answer_bytes

    async def run(self, id, target, writer):
        await asyncio.sleep(self.work_s)
        size = self.answer_size(target)
        data = ((id.encode() + b" ") * (size // (len(id) + 1) + 1))[:size]
        fields = {
            "Attempt-Id": id,
            "Response-Seal": f"seal.{id}",
            "Content-Length": len(data),
            "Keep-Alive": "timeout=30",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", fields) + data)
        await writer.drain()
        self.record(f"engine {self.id} answered {id}")


class ModelEngine(Engine):
    """An engine whose answers are streams of ``events`` events, one each ``event_s`` seconds."""

    def __init__(self, *args, events=234, event_s=0.04, prefill_s=0.2, **kwargs):
        super().__init__(*args, **kwargs)
        self.events, self.event_s, self.prefill_s = events, event_s, prefill_s

    async def run(self, id, target, writer):
        await asyncio.sleep(self.prefill_s)
        fields = {
            "Attempt-Id": id,
            "Response-Seal": f"seal.{id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", fields))
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        self.record(f"engine {self.id} completed {id}")


class Gateway:
    """A process of the deploy file's role."""

    def __init__(self, folder, record, name, store, zone="z1", **settings):
        self.folder, self.record, self.name = pathlib.Path(folder), record, name
        self.ip = free_address()
        self.front, self.ready = (self.ip, free_port(self.ip)), (self.ip, free_port(self.ip))
        peers = free_port(self.ip)
        values = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": zone,
            "region": "r1",
            f"zones.{zone}": "r1",
            "listen.front": format_address(self.front),
            "listen.ready": format_address(self.ready),
            "internalPorts": f"{peers},{peers}",
            "bootstrap": "true",
            "limits.memoryMb": 150,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "heartbeatMs": 1200,
            "bounds.drainMs": 2000,
            "bounds.graceS": 8,
            "bounds.lossSlackMs": 200,
            "bounds.configApplyMs": 2000,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.budgetExtra": 56,
            "platform.address": format_address(store.address),
            "platform.form": "objects",
            **settings,
        }
        self.settings_path = self.folder / f"{name}.conf"
        self.settings_path.write_text("".join(f"{key}={value}\n" for key, value in values.items()))
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        command = ["python3", "deploy/launch.py", "ingress"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["GUAVACLEAT_BOOT"] = str(self.settings_path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record(f"platform starts {self.name}, pid {self.process.pid}")

    def signal(self, number):
        self.record(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            status, _, _ = await asyncio.wait_for(request(self.ready, "GET", "/-/readyz", {}), 1)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                self.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready")

    async def wait_end(self, seconds):
        """Wait for the end; kill after ``seconds``, as the platform does after the grace."""
        deadline = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.record(f"{self.name} ended with {self.process.returncode}")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def request(address, method, target, headers, body=b"", connection=None):
    """Send one request; return status, headers and body.

    Raises ConnectionError or IncompleteReadError if the connection ends without a whole answer.
    """
    reader, writer = connection or await asyncio.open_connection(*address, limit=READ_LIMIT)
    try:
        fields = {"Host": "svc.example", **headers}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        writer.write(encode_head(f"{method} {target} HTTP/1.1", fields) + body)
        return await read_answer(reader)
    finally:
        if connection is None:
            writer.close()


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError("closed without an answer")
    first, headers = head
    return int(first.split(" ")[1]), headers, await read_body(reader, headers, until_closed=True)


def route(name, service, kind, timeout_ms=8000, goal_ms=300, attempts=1, **fields):
    return {
        "name": name,
        "host": "svc.example",
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "latencyGoalMs": goal_ms,
        "maxAttempts": attempts,
        "priority": 2,
        **fields,
    }


def configuration(version, routes, services):
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def main(case, folder, record_name="record.txt"):
    """Run ``case(record, temporary_folder, trouble)``; exit with 0 held, 1 broken, 2 not run."""
    record = Record(pathlib.Path(folder) / record_name)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    # End the started processes too if this one is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), 110))
        except (TimeoutError, CannotRunError) as exc:
            record(f"could not run: {exc!r}")
            sys.exit(2)
    record("RULE BROKEN: " + broken if broken else "the rule held")
    print("RULE BROKEN: " + broken if broken else "the rule held")
    sys.exit(1 if broken else 0)
