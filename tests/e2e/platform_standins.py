"""Stand-ins of the platform's store and engines on loopback sockets, for end-to-end tests."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

WATCH_TIMEOUT_SECONDS = 0.2


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

    def list_objects(self, kind, since=0):
        return [
            stored
            for (stored_kind, _), stored in sorted(self.objects.items())
            if stored_kind == kind and stored["metadata"]["revision"] > since
        ]


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Disable the request log."""

    def reply(self, code, body, headers=()):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(code)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class StoreHandler(QuietHandler):
    def do_GET(self):  # noqa: N802 - the library's name
        state = self.server.state
        parts = urlsplit(self.path)
        query = parse_qs(parts.query)
        kind = parts.path.split("/")[3]
        if "watch" not in query:
            self.reply(200, {"items": state.list_objects(kind), "storeRevision": state.revision})
            return
        since = int(query["watch"][0])
        with state.changed:
            state.changed.wait_for(lambda: state.list_objects(kind, since), WATCH_TIMEOUT_SECONDS)
            events = [
                {"object": stored, "tombstone": False} for stored in state.list_objects(kind, since)
            ]
            self.reply(200, {"events": events, "storeRevision": state.revision})

    def do_POST(self):  # noqa: N802 - the library's name
        body = json.loads(self.read_body())
        kind, name = self.path.split("/")[3], body["metadata"]["name"]
        self.server.state.write(kind, name, body["spec"])
        self.reply(200, self.server.state.objects[kind, name])


class EngineState:
    """An engine's received requests and its answers; clearing ``release`` blocks its streams.

    :ivar answer: body of the answers to plain requests; the request's own if None.
    :ivar events: data of the events of a stream.
    :ivar read_pause: seconds for which the engine doesn't read the body of a request.
    :ivar broken_at: monotonic time at which an answer could not be sent, or a request was cut.
    :ivar on_request: called with the socket of each request before its body is read.
    """

    def __init__(self, delay=0.0):
        self.requests = []
        self.delay = delay
        self.release = threading.Event()
        self.release.set()
        self.answer = None
        self.events = ["x"] * 3
        self.read_pause = 0.0
        self.broken_at = None
        self.on_request = lambda connection: None


class EngineHandler(QuietHandler):
    def do_POST(self):  # noqa: N802 - the library's name
        state = self.server.state
        state.on_request(self.connection)
        time.sleep(state.read_pause)
        try:
            self.answer(state, self.read_body())
        except ConnectionError:
            state.broken_at = time.monotonic()
            self.close_connection = True

    def answer(self, state, body):
        state.requests.append((self.path, dict(self.headers), body))
        seal = [("Attempt-Id", self.headers["Attempt-Id"]), ("Response-Seal", "s")]
        if self.path.startswith("/plain/"):
            self.reply(200, b"echo:" + body if state.answer is None else state.answer, seal)
            return
        self.send_response(200)
        for name, value in [*seal, ("Transfer-Encoding", "chunked")]:
            self.send_header(name, value)
        self.end_headers()
        for number, data in enumerate(state.events, 1):
            state.release.wait(5)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")


def configuration(version=1, timeout_ms=5000, limits=None):
    def route(prefix, kind):
        return {
            "name": prefix,
            "host": "h.example",
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutMs": timeout_ms,
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
        "limits": limits or {},
        "tenants": [{"name": "t1", "apiKeys": ["k1"]}],
    }
