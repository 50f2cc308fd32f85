"""Test harness for forwarding without a network; tests control the endpoints and the clock."""

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError

from guavacleat.admission.generations import GenerationQueue
from guavacleat.forwarding.context import ForwardingContext
from guavacleat.forwarding.feedback import EndpointFeedback
from guavacleat.forwarding.messages import MoveResponse, RequestMetadata, ResponseMetadata
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.statements import StatementHeaders, parse_statements
from guavacleat.forwarding.wire import Wire
from guavacleat.http1.client import ResponseFailure
from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.messages import RequestHead, ResponseHead
from guavacleat.membership.entries import EndpointEntry, EndpointState
from guavacleat.membership.liveness import EndpointProbe
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.placement import LoadTracker, Placement
from guavacleat.quarantine import CrashTracker, QuarantineGuard
from guavacleat.retries import RetryBudget
from guavacleat.routes import Backend, EngineTraits, RequestKind, Route, ServiceTraits
from guavacleat.settings import Bounds
from guavacleat.throttling import EndpointThrottle

ENGINE = EngineTraits(24, 30000, 163840, 24000.0, 4, moves=True, backups=False)
STATEMENTS = StatementHeaders(rate_limit=b"limit", leaving=b"leaving")


class FakeWire(Wire):
    """Wire format for tests: one header per field, such as ``id`` and ``sealed`` (signed)."""

    def parse_request_metadata(self, headers):
        values = dict(headers)
        return RequestMetadata(values.get(b"id", b"").decode(), caller_timeout=None)

    def endpoint_headers(self, headers, metadata):
        kept = list(headers)
        kept.append((b"incarnation", metadata.incarnation.encode()))
        kept.append((b"time-left", b"%.3f" % metadata.time_left))
        if metadata.resume is not None:
            kept.append(
                (
                    b"resume",
                    b"%s %d" % (metadata.resume.handle.encode(), metadata.resume.last_event),
                )
            )
        if metadata.backup_target is not None:
            kept.append((b"copy-to", metadata.backup_target[0].encode()))
        return kept

    def parse_response_metadata(self, status, headers):
        values = dict(headers)
        id = values.get(b"id")
        return ResponseMetadata(
            None if id is None else id.decode(),
            b"sealed" in values,
            b"not-run" in values,
            False,
            parse_statements(status, headers, STATEMENTS),
        )

    def refusal_headers(self, request_id, retry_after):
        return [] if retry_after is None else [(b"retry-after", b"%.1f" % retry_after)]

    def encode_move(self, request_id, target, stop=False):
        path = b"/stop" if stop else b"/copy"
        return b"POST", path, [], f"{request_id} {target[0]}".encode()

    def decode_move(self, status, body):
        return MoveResponse(status, body.decode() or None)

    def free_copy_path(self, handle):
        return f"/free/{handle}".encode()


class FakeEndpointConnection:
    """Fake connection to an endpoint; the test sends the endpoint's responses."""

    def __init__(self, address, pool=None):
        self.address = address
        self.pool = pool
        self.open = True
        self.listener = None
        self.target = None
        self.headers = {}
        self.abandoned = False
        self.paused = False
        self.taking_request = False
        self.unidentified = False
        self.transport = self

    def send(self, method, target, headers, body, listener):
        self.method, self.target, self.body = method, target, body
        self.headers = dict(headers)
        self.listener = listener
        if self.pool is not None:
            self.pool.request_sent(self)

    def abandon(self):
        self.open, self.abandoned = False, True
        self.break_connection(ResponseFailure.ABANDONED)

    def skip_rest(self, clock):
        self.listener = None

    def is_taking_request(self):
        return self.taking_request

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False

    def begin(self, status=200, id=b"r1", signed=True, not_run=False, statements=(), framed=True):
        headers = [(b"transfer-encoding", b"chunked")] if framed else []
        headers += [(b"id", id)] if id is not None else []
        headers += [(b"sealed", b"1")] if signed else []
        headers += [(b"not-run", b"1")] if not_run else []
        headers += statements
        self.listener.response_started(ResponseHead(status, b"", headers))

    def send_body(self, data):
        if self.listener is not None:
            self.listener.response_data_received(data)

    def end(self):
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.response_completed()

    def break_connection(self, reason=ResponseFailure.RESET):
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.response_failed(reason)

    def answer(self, status=200, body=b"", **changes):
        self.begin(status, **changes)
        if body:
            self.send_body(body)
        self.end()


CONTROL_TARGETS = (b"/copy", b"/stop", b"/free")


class FakePool:
    """Opens fake connections, except to the addresses in ``refused``.

    Connections of control calls are in ``calls``, those of requests in ``connections``.
    """

    __test__ = False

    def __init__(self):
        self.connections: list[FakeEndpointConnection] = []
        self.calls: list[FakeEndpointConnection] = []
        self.refused: set = set()
        # Addresses to which new connections are neither accepted nor refused.
        self.unreachable: set = set()
        # Responses (status, body) that are sent at once, by the target of the call.
        self.responses_by_target: dict[bytes, tuple[int, bytes]] = {b"/stop": (404, b"")}

    def drop(self, address):
        """There are no idle connections."""

    def release(self, address, connection):
        """The next request opens a connection of its own."""

    def connect(self, address, identified=False):
        del identified
        if address in self.refused:
            return defer.fail(ConnectionRefusedError(str(address)))
        self.connections.append(FakeEndpointConnection(address, self))
        return defer.succeed(self.connections[-1])

    def request_sent(self, connection):
        if not connection.target.startswith(CONTROL_TARGETS):
            return
        self.connections.remove(connection)
        self.calls.append(connection)
        response = self.responses_by_target.get(connection.target)
        if response is not None:
            connection.answer(*response)

    def connect_new(self, address):
        """Open a probe connection, which is not recorded in ``connections``."""
        if address in self.unreachable:
            return defer.Deferred()
        if address in self.refused:
            return defer.fail(ConnectionRefusedError(str(address)))
        return defer.succeed(FakeEndpointConnection(address, self))

    def to(self, name) -> list[FakeEndpointConnection]:
        """Connections to the endpoint ``name``, oldest first."""
        return [found for found in self.connections if found.address[0] == name]


class FakeCaller:
    """Fake caller connection that records the response."""

    def __init__(self):
        self.open = True
        self.paused = False
        self.head = None
        self.data = b""
        self.complete = False
        self.aborted = False

    def send_head(self, status, reason, headers):
        self.head = (status, dict(headers))

    def send_body(self, data):
        self.data += data

    def send_end(self):
        self.complete = True

    def abort(self):
        self.open, self.aborted = False, True


class ForwardingHarness:
    """Forwarding components of one gateway, with endpoints ``names`` of the service ``svc``."""

    def __init__(self, clock, names=("e1", "e2", "e3"), engine=ENGINE, bounds=None):
        self.clock = clock
        self.engine = engine
        self.registry = EndpointRegistry(clock)
        self.load = LoadTracker(clock)
        self.pool = FakePool()
        self.crash_tracker = CrashTracker(clock)
        quarantine = QuarantineGuard(
            clock, self.crash_tracker, EndpointProbe(self.pool, self.registry)
        )
        placement = Placement(
            self.registry,
            self.load,
            "dc",
            seed=1,
            avoided_ids=quarantine.trial_endpoints,
            throttle=EndpointThrottle(clock),
        )
        bounds = bounds or Bounds(retry_extra=100)
        budget = RetryBudget(clock, bounds, lambda: 1)
        budget.started_at -= bounds.retry_window
        self.queue = GenerationQueue(clock, placement, seed=1)
        self.load.listeners.append(self.queue.schedule_dispatch)
        self.context = ForwardingContext(
            clock,
            self.pool,
            FakeWire(),
            self.registry,
            self.load,
            placement,
            budget,
            self.queue,
            quarantine,
            EndpointFeedback(self.registry, placement.throttle),
        )
        for name in names:
            self.set_endpoint(name)

    def pump(self, seconds, step=0.01):
        """Advance the clock in small steps, so that timers start further timers."""
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def set_endpoint(self, name, data_centre="dc", state=EndpointState.READY):
        self.registry.observe(make_entry(name, data_centre, state))

    def request(self, kind=RequestKind.IDEMPOTENT, attempts=2, timeout=2.0, body=b"", **metadata):
        """Create the request ``r1`` and its caller."""
        route = Route(
            "r", "h", "/", (Backend("svc", 1),), kind, timeout, 0.1, 0.2, max_attempts=attempts
        )
        caller = FakeCaller()
        head = RequestHead(b"POST", b"/x", [(b"host", b"h"), (b"id", b"r1")])
        exchange = CallerExchange(caller, head, body)
        metadata = RequestMetadata("r1", **{"prompt_tokens": 1000, **metadata})
        traits = ServiceTraits("svc", 100, self.engine)
        request = ForwardedRequest(
            exchange, metadata, route, None, "svc", traits, 1, self.clock.seconds(), head.headers
        )
        return request, caller


def make_entry(
    name, data_centre="dc", state=EndpointState.READY, service="svc", revision=0, started_ms=None
):
    return EndpointEntry(name, service, (name, 80), data_centre, 6, state, revision, started_ms)


def encode_event(id, text="x"):
    return f"id: {id}\ndata: {text}\n\n".encode()
