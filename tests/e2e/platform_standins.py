"""The platform's store and its engines over real sockets, for the ingress as a process."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

WATCH_SECONDS = 0.2


class Server:
    """An HTTP server on a free loopback port; ``handler`` is a BaseHTTPRequestHandler."""

    def __init__(self, handler, state):
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        self.server.daemon_threads = True
        self.server.state = state
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class StoreState:
    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 0
        self.objects = {}

    def write(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            metadata = {"name": name, "revision": self.revision, "createdAt": self.revision}
            self.objects[kind, name] = {"metadata": metadata, "spec": spec}
            self.changed.notify_all()

    def of_kind(self, kind, since=0):
        return [
            found
            for (of, _), found in sorted(self.objects.items())
            if of == kind and found["metadata"]["revision"] > since
        ]


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Say nothing."""

    def reply(self, code, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(code)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class StoreHandler(Quiet):
    def do_GET(self):  # noqa: N802 - the library's name
        state = self.server.state
        parts = urlsplit(self.path)
        query = parse_qs(parts.query)
        kind = parts.path.split("/")[3]
        if "watch" not in query:
            self.reply(200, {"items": state.of_kind(kind), "storeRevision": state.revision})
            return
        since = int(query["watch"][0])
        with state.changed:
            state.changed.wait_for(lambda: state.of_kind(kind, since), WATCH_SECONDS)
            events = [{"object": found, "tombstone": False} for found in state.of_kind(kind, since)]
            self.reply(200, {"events": events, "storeRevision": state.revision})

    def do_POST(self):  # noqa: N802 - the library's name
        body = json.loads(self.body())
        kind, name = self.path.split("/")[3], body["metadata"]["name"]
        self.server.state.write(kind, name, body["spec"])
        self.reply(200, self.server.state.objects[kind, name])


class EngineState:
    """What an engine was asked; ``delay`` holds each event of a stream."""

    def __init__(self, delay=0.0):
        self.asked = []
        self.delay = delay
        self.release = threading.Event()
        self.release.set()


class EngineHandler(Quiet):
    def do_POST(self):  # noqa: N802 - the library's name
        state = self.server.state
        body = self.body()
        state.asked.append((self.path, dict(self.headers), body))
        seal = [("Attempt-Id", self.headers["Attempt-Id"]), ("Response-Seal", "s")]
        if self.path.startswith("/plain/"):
            self.reply(200, b"echo:" + body, seal)
            return
        self.send_response(200)
        for name, value in [*seal, ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        for number in range(1, 4):
            state.release.wait(5)
            event = f"id: {number}\ndata: x\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")


def configuration(version=1):
    def route(prefix, kind):
        return {
            "name": prefix,
            "host": "h.example",
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": 5000,
            "latencyGoalMs": 1000,
            "service": "svc",
            "maxAttempts": 1,
            "public": False,
            "gapGoalMs": 180,
        }

    return {
        "version": version,
        "routes": [route("/plain/", "non_idempotent"), route("/stream/", "stream")],
        "services": [{"name": "svc", "maxConns": 10}],
        "limits": {},
        "tenants": [{"name": "t1", "apiKeys": ["k1"]}],
    }
