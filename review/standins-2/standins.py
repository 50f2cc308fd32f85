"""Stand-ins for the cases of review/REPORT-2.md: store, engines, clients, and the gateway process.

Everything listens on loopback addresses and free ports. The stand-ins behave as PROTOCOL.md says;
what a case disturbs is set by the case.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY, TENANT, HOST = "k-1f6c0b2d", "huka270", "ficu95.example"
DRAIN_SECONDS = 2.0
STABILITY_SECONDS = 3.0
# A gateway makes no use of the budget's extra while requests of its predecessor may count.
BUDGET_WINDOW_SECONDS = 10.0


class Record:
    """Writes what was sent, answered and run to record.txt; times count from the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def loopback_ip(number):
    """A loopback address of this run's own, so that fixed ports of a gateway are free there."""
    return f"127.{10 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.{number}"


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Head:
    """The first line and the headers of a message; names of headers are in lower case."""

    def __init__(self, line, headers):
        self.line = line
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    """The head of the next message; None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if ":" in line)
    return Head(first, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raises IncompleteReadError if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class HttpServer:
    """Serves one request after another on each connection by ``handle(connection, head, body)``."""

    def __init__(self, ip):
        self.ip = ip
        self.port = None
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection(reader, writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head.get("content-length", 0)))
                await self.handle(connection, head, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, connection, head, body):
        raise NotImplementedError

    def end(self):
        """End like a process: close the listening socket and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Connection:
    """An accepted connection; cases may note things on it in ``notes``."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.notes = {}

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def reply(self, status, headers, body=b""):
        await self.send(message(f"HTTP/1.1 {status} X", headers, body))

    async def reply_json(self, status, value):
        body = json.dumps(value).encode()
        await self.reply(status, [("Content-Type", "application/json")], body)


class Store(HttpServer):
    """The platform's store: linearizable, loses nothing, keeps all of its history."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        # Called with each watch as it begins to wait.
        self.on_watch = lambda connection, kind: None

    async def write(self, kind, name, spec):
        """An acknowledged write of the operator or of an engine."""
        async with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name))
            metadata = {
                "name": name,
                "revision": self.revision,
                "createdAt": old["metadata"]["createdAt"] if old else self.revision,
                "finalizers": [],
                "deletionPending": False,
            }
            stored = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[kind, name] = stored
            self.history.append((self.revision, kind, stored, False))
            self.changed.notify_all()
        if kind != "gateways":
            self.record(
                f"store: {kind}/{name} written, revision {self.revision}: "
                f"{spec.get('state', '') or spec.get('version', '')}"
            )
        return stored

    async def delete(self, kind, name):
        async with self.changed:
            self.revision += 1
            stored = self.objects.pop((kind, name))
            metadata = {**stored["metadata"], "revision": self.revision}
            gone = {**stored, "metadata": metadata}
            self.history.append((self.revision, kind, gone, True))
            self.changed.notify_all()
        self.record(f"store: {kind}/{name} removed, revision {self.revision}")

    def events(self, kind, since):
        return [
            {"object": stored, "tombstone": tombstone}
            for revision, changed_kind, stored, tombstone in self.history
            if changed_kind == kind and revision > since
        ]

    async def handle(self, connection, head, body):
        method, target, _ = head.line.split(" ")
        path, _, query = target.partition("?")
        parts = path.strip("/").split("/")
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if method == "GET" and "watch" in fields:
            await self._watch(connection, kind, int(fields["watch"]), int(fields["waitMs"]))
        elif method == "GET" and name is None:
            items = [stored for (of, _), stored in sorted(self.objects.items()) if of == kind]
            answer = {"items": items, "hasMore": False, "storeRevision": self.revision}
            await connection.reply_json(200, answer)
        elif method == "GET":
            stored = self.objects.get((kind, name))
            await connection.reply_json(200 if stored else 404, stored or {})
        else:
            await self._change(connection, method, kind, name, json.loads(body or b"{}"))

    async def _change(self, connection, method, kind, name, sent):
        metadata = sent.get("metadata", {})
        name = name or metadata["name"]
        stored = self.objects.get((kind, name))
        if method == "POST" and stored is not None:
            await connection.reply_json(409, stored)
        elif method == "PUT" and stored is None:
            await connection.reply_json(404, {})
        elif method == "PUT" and metadata.get("revision", stored["metadata"]["revision"]) != (
            stored["metadata"]["revision"]
        ):
            await connection.reply_json(409, stored)
        elif method == "DELETE":
            await self.delete(kind, name)
            await connection.reply_json(200, {})
        else:
            stored = await self.write(kind, name, sent.get("spec"))
            await connection.reply_json(201 if method == "POST" else 200, stored)

    async def _watch(self, connection, kind, since, wait_ms):
        self.on_watch(connection, kind)
        connection.notes["watch"] = kind
        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self.changed.wait_for(lambda: bool(self.events(kind, since)))
            answer = {"events": self.events(kind, since), "storeRevision": self.revision}
        connection.notes["watch"] = None
        await connection.reply_json(200, answer)


class Engine(HttpServer):
    """What all engines have in common: id, entry in the store, and the log of its runs."""

    def __init__(self, ip, id, service, zone, record, slots):
        super().__init__(ip)
        self.id = id
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.running = 0

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 0,
        }

    def is_meant(self, head):
        return head.get("expect-instance") in (None, self.id)

    async def misdirected(self, connection):
        await connection.reply(421, [("Instance-Id", self.id)])

    def sealed(self, id):
        return [("Attempt-Id", id), ("Response-Seal", f"seal.{self.id}.{id}")]


class PlainEngine(Engine):
    """Runs plain requests: ``slots`` at once, ``queue`` more wait, the others are not run."""

    def __init__(self, *args, slots=6, queue=2, work=0.1):
        super().__init__(*args, slots)
        self.queue = queue
        self.work = work
        self.waiting = 0
        self.answers = 0
        self.runs = []
        self.arrivals = []
        self.free = asyncio.Semaphore(slots)
        # Called before a request is run or waits for a slot, and after one was not run.
        self.before_run = None
        self.after_shed = lambda connection, head: None

    async def handle(self, connection, head, body):
        id = head.get("attempt-id")
        self.arrivals.append((time.monotonic(), id))
        self.record(f"{self.id}: {id} arrives")
        if not self.is_meant(head):
            await self.misdirected(connection)
            return
        if self.free.locked() and self.waiting >= self.queue:
            self.record(f"{self.id}: {id} is not run, the engine is full")
            self.answers += 1
            await connection.reply(503, [("Not-Executed", "1")])
            self.after_shed(connection, head)
            return
        if self.before_run is not None:
            await self.before_run(connection, head)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.runs.append((time.monotonic(), id))
            self.record(f"{self.id}: {id} runs")
            await asyncio.sleep(self.work)
        self.answers += 1
        self.record(f"{self.id}: {id} has run")
        await connection.reply(200, self.sealed(id), b"x" * 800)


class ModelRun:
    """A generation on one engine."""

    def __init__(self, id, tokens, events, made=0):
        self.id = id
        self.tokens = tokens
        self.events = events
        self.made = made
        self.began = time.monotonic()
        self.worked_until = self.began
        self.ended = None


class ModelEngine(Engine):
    """Streams generations, and copies their memory to other engines (PROTOCOL.md, kv-move).

    :param drops: whether a run ends when its connection closes, as on most engines.
    """

    STEP_SECONDS = 0.04
    TOKENS_PER_EVENT = 4
    KV_TOKEN_BYTES = 163840
    LINK_BITS_PER_SECOND = 24e9

    def __init__(self, *args, engines, drops=True, slots=24):
        super().__init__(*args, slots)
        self.engines = engines
        engines.append(self)
        self.drops = drops
        self.runs = []
        self.copies = {}
        self.arrivals = []
        self.link = asyncio.Lock()
        self.draining = False
        # Called with each kv-move call that has been accepted.
        self.on_move = lambda run, target: None

    async def handle(self, connection, head, body):
        method, path, _ = head.line.split(" ")
        if path == "/-/report":
            await connection.reply_json(200, self._report())
        elif path == "/-/kv-move":
            await self._move(connection, json.loads(body))
        elif path.startswith("/-/kv-handle/"):
            handle = path.rpartition("/")[2]
            for engine in self.engines:
                engine.copies.pop((self.address, handle), None)
            await connection.reply_json(200, {})
        elif not self.is_meant(head):
            await self.misdirected(connection)
        else:
            await self._stream(connection, head)

    def _report(self):
        running = [run for run in self.runs if run.ended is None]
        return {
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(running),
            "kvUsed": sum(run.tokens + run.made * self.TOKENS_PER_EVENT for run in running),
            "kvTotal": 34239,
            "handles": len(self.copies),
            "state": "draining" if self.draining else "ready",
            "nextToken": 0,
            "runs": [[run.id, run.tokens, run.made, 5] for run in running],
        }

    async def _move(self, connection, call):
        run = next((r for r in self.runs if r.id == call["id"] and r.ended is None), None)
        target = next((e for e in self.engines if e.address == call["target"]), None)
        if run is None or not run.made:
            await connection.reply_json(404, {})
            return
        self.record(f"{self.id}: is asked to copy {run.id} to {target.id}")
        self.on_move(run, target)
        async with self.link:
            tokens = run.tokens + run.made * self.TOKENS_PER_EVENT
            seconds = tokens * self.KV_TOKEN_BYTES * 8 / self.LINK_BITS_PER_SECOND
            await asyncio.sleep(seconds * (1 if target.zone == self.zone else 2))
        handle = f"h{len(self.history())}-{run.id}"
        target.copies[self.address, handle] = run.made
        self.record(f"{self.id}: has copied {run.id} to {target.id} after {run.made} events")
        await connection.reply_json(200, {"handle": handle, "createdAt": run.made})

    def history(self):
        return self.runs

    async def _stream(self, connection, head):
        id = head.get("attempt-id")
        prompt, most = (int(part) for part in head.get("token-usage").split(","))
        self.arrivals.append((time.monotonic(), id))
        source, made = head.get("kv-from"), 0
        self.record(f"{self.id}: {id} arrives" + (f", to go on from {source}" if source else ""))
        if source is not None:
            address, _, handle = source.partition("/")
            if self.copies.pop((address, handle), None) is None:
                await connection.reply(503, [("Not-Executed", "1")])
                return
            made = int(head.get("last-event-id"))
        run = ModelRun(id, prompt, most // self.TOKENS_PER_EVENT, made)
        self.runs.append(run)
        closed = asyncio.ensure_future(connection.reader.read(1))
        try:
            await self._generate(connection, run, closed)
        finally:
            run.ended = time.monotonic()
            closed.cancel()
            self.record(f"{self.id}: stops work on {id} after event {run.made} of {run.events}")
        raise ConnectionError("one request a connection is enough here")

    async def _generate(self, connection, run, closed):
        writer, gone = connection.writer, False
        lines = [f"{name}: {value}" for name, value in self.sealed(run.id)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)).encode())
        while run.made < run.events:
            await asyncio.sleep(self.STEP_SECONDS)
            run.made += 1
            run.worked_until = time.monotonic()
            event = f"id: {run.made}\ndata: {'x' * 300}\n\n".encode()
            if closed.done() or writer.transport.is_closing():
                if self.drops:
                    return
                if not gone:
                    gone = True
                    self.record(f"{self.id}: {run.id} has lost its connection; the run goes on")
                continue
            with contextlib.suppress(ConnectionError):
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        if not gone:
            with contextlib.suppress(ConnectionError):
                await connection.send(b"0\r\n\r\n")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, number, zone, store, folder, bounds=()):
        self.name = f"front-{zone}-{number}"
        self.ip = loopback_ip(number)
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        internal = free_port(self.ip, socket.SOCK_DGRAM)
        self.log = open(Path(folder) / f"{self.name}.log", "wb")
        self.settings = Path(folder) / f"{self.name}.conf"
        zones = ("nasr-a", "nasr-b", "maadi", "giza-west")
        lines = [
            f"nodeName={self.name}",
            "role=gateway",
            "machineClass=front",
            "serves=front",
            f"ip={self.ip}",
            f"zone={zone}",
            "region=cairo",
            *(f"zones.{name}=cairo" for name in zones),
            f"listen.front={self.ip}:{self.front}",
            f"listen.ready={self.ip}:{self.ready}",
            f"internalPorts={internal},{internal}",
            "bootstrap=true",
            "limits.cpuShare=0.817",
            "limits.cores=1",
            "limits.memoryMb=150",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            "heartbeatMs=1200",
            "bounds.stabilityMs=3000",
            "bounds.drainMs=2000",
            "bounds.graceS=8",
            "bounds.lossSlackMs=200",
            "bounds.configApplyMs=2000",
            "bounds.retryBudgetRatio=0.2",
            "bounds.budgetWindowS=10",
            "bounds.budgetExtra=56",
            "bounds.reuseWindowS=4.3",
            f"platform.address={store.address}",
            "platform.form=objects",
            *bounds,
        ]
        self.settings.write_text("\n".join(lines) + "\n")
        self.process = None

    async def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["GUAVACLEAT_BOOT"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "deploy/launch.py",
            "ingress",
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        return self

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and " 200 " in head.line + " "

    async def wait_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not become ready")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


class CannotRunError(Exception):
    """The case couldn't run."""


class Answer:
    """What a client got: status 0 for none, and whether the answer was complete."""

    def __init__(self, status=0, complete=False, events=0):
        self.status = status
        self.complete = complete
        self.events = events


def request_bytes(method, path, id, headers, deadline_ms, body=b""):
    own = [("Host", HOST), ("Attempt-Id", id), ("Deadline-Ms", deadline_ms), ("Key", KEY)]
    return message(f"{method} {path} HTTP/1.1", [*own, *headers], body)


async def call(record, gateway, path, id, headers=(), deadline_ms=1500, on_event=None):
    """Send one request on a new connection; return the :class:`Answer`."""
    answer = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front, limit=1 << 22)
            record(f"client: sends {id} to {gateway.name}")
            writer.write(request_bytes("POST", path, id, headers, deadline_ms))
            head = await read_head(reader)
            if head is not None:
                answer.status = int(head.line.split(" ")[1])
                if head.get("transfer-encoding") == "chunked":
                    async for chunk in read_chunks(reader):
                        answer.events += chunk.count(b"\n\n")
                        if on_event is not None:
                            on_event()
                else:
                    await reader.readexactly(int(head.get("content-length", 0)))
                answer.complete = True
            writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        record(f"client: {id}: {exc!r}")
    record(
        f"client: {id} is answered {answer.status or 'not at all'}"
        f"{'' if answer.complete else ', incomplete'}"
        f"{f', {answer.events} events' if answer.events else ''}"
    )
    return answer


def route(name, prefix, kind, service, timeout_ms, goal_ms, **more):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "latencyGoalMs": goal_ms,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": kind == "stream",
        "resumable": False,
        "gapGoalMs": 180 if kind == "stream" else None,
        **more,
    }


def configuration(version=1):
    """A small form of the sheet nde-cairo: one service of model engines and one plain service."""
    return {
        "version": version,
        "routes": [
            route("listing-digest", "/digest/", "stream", "enquiry-lm", 39000, 1800),
            route("call-connect", "/connect/", "non_idempotent", "switchboard", 1500, 125),
        ],
        "services": [
            {
                "name": "enquiry-lm",
                "healthPath": "/healthz",
                "maxConns": 252,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 24,
                    "kvCapacity": 34239,
                    "kvTokenBytes": 163840,
                    "linkMbps": 24000.0,
                    "moves": True,
                    "backups": False,
                    "stride": 4,
                    "most": 12,
                    "pinMs": 4000.0,
                    "holdMs": 2000.0,
                    "handleS": 5.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "switchboard",
                "healthPath": "/healthz",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def generation_headers(id, prompt, most):
    shared = 79
    prefix = f"5c1e07a2:{shared},{id}:{prompt - shared}"
    return [("Model", "m"), ("Token-Usage", f"{prompt},{most}"), ("Prompt-Prefix", prefix)]


def run_case(folder, main, seconds=110):
    """Run ``main(record, temporary folder)``, which returns whether the rule was broken."""
    record = Record(folder)

    async def limited():
        with tempfile.TemporaryDirectory() as temporary:
            ended = []
            try:
                async with asyncio.timeout(seconds):
                    return await main(record, temporary, ended)
            finally:
                for gateway in ended:
                    await gateway.end()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(limited())
    except (CannotRunError, TimeoutError, OSError) as exc:
        record(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(NOT_RUN)
    record("the rule was BROKEN" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
