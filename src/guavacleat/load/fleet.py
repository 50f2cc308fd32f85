"""Gateways, sidecars and stand-in engines in one process, on a real or virtual clock.

Relay, dispatcher, router and sidecar handler are the production classes; only the network between
them is replaced, by calls delayed ``LINK_SECONDS`` each way. A run on
``twisted.internet.task.Clock`` is therefore deterministic. Links can be reset, stalled or refused.
"""

import itertools

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.membership import EndpointRecord, MembershipView
from guavacleat.membership.lease import HEARTBEAT_SECONDS
from guavacleat.metrics import StreamMetrics
from guavacleat.periodic import Periodic
from guavacleat.routing import get_router_by_name
from guavacleat.routing.poll import DigestPoller
from guavacleat.sidecar.engine_client import EngineBatch
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.sidecar.occupancy import HEADROOM
from guavacleat.standin.engine import Engine
from guavacleat.streams import Relay

__all__ = ["Fleet", "FleetEndpoint", "FleetGateway", "LINK_SECONDS", "Policy"]

# One-way latency of a link, as between two data centres.
LINK_SECONDS = 0.0015
IDLE_SWEEP_SECONDS = 1.0


class Policy:
    """A scheduling policy: a router and a queue by name, and the limits on endpoints.

    :param reserves_headroom: whether sidecars limit admission by their engine's memory.
    :param in_flight: maximum number of streams of a gateway on one endpoint.
    :param headroom: share of an engine's memory that its sidecar keeps free.
    """

    __slots__ = ("name", "router", "queue", "reserves_headroom", "in_flight", "headroom")

    def __init__(
        self,
        name: str,
        router: str,
        queue: str,
        reserves_headroom: bool,
        in_flight: int = 64,
        headroom: float = HEADROOM,
    ):
        self.name = name
        self.router = router
        self.queue = queue
        self.reserves_headroom = reserves_headroom
        self.in_flight = in_flight
        self.headroom = headroom


class DirectEngine:
    """Replaces :class:`EngineClient` by direct calls to an engine."""

    def __init__(self, engine: Engine):
        self.engine = engine

    def generate(self, request_id, prompt, max_tokens, priority, resume=()):
        sequence = self.engine.submit(request_id, prompt, max_tokens, priority, resume=resume)
        return defer.succeed((sequence.stream_id, sequence.generation))

    @defer.inlineCallbacks
    def read(self, stream_id, cursor, wait):
        if stream_id not in self.engine.sequences_by_id:
            raise LookupError(stream_id)
        sequence = yield self.engine.read(stream_id, cursor, wait)
        return EngineBatch(
            sequence.generation,
            cursor,
            sequence.tokens[cursor:],
            sequence.finished,
            sequence.finish_reason,
            sequence.preemptions,
        )

    def cancel(self, stream_id):
        return defer.succeed(self.engine.cancel(stream_id))

    def load(self):
        return defer.succeed(self.engine.load())

    def cache_events(self, since):
        return defer.succeed(self.engine.cache_events(since))


class FleetEndpoint:
    """One endpoint: its engine, sidecar handler and link state."""

    def __init__(self, clock, name: str, service: str, engine_settings, policy: Policy):
        self.clock = clock
        self.name = name
        self.service = service
        self.engine = Engine(clock, engine_settings)
        engine_client = DirectEngine(self.engine)
        self.handler = SidecarHandler(name, engine_client, None, clock, policy.headroom)
        if policy.reserves_headroom:
            self.handler.refresh_capacity()
        self.terminated = False
        self.drain_started_at: float | None = None
        self.stalled_until = 0.0
        # A dict rather than a set: iteration in insertion order keeps runs deterministic.
        self.pending_calls: dict[defer.Deferred, None] = {}

    def record(self) -> dict:
        draining = self.drain_started_at is not None
        return EndpointRecord(self.name, self.service, "dc", self.name, draining).to_json()

    def kill(self) -> None:
        """Terminate the instance: reset pending calls and refuse new ones."""
        self.terminated = True
        for pending in list(self.pending_calls):
            pending.errback(ConnectionResetError(self.name))

    def drain(self) -> None:
        """Begin a graceful shutdown: accept no new work and finish the open streams."""
        self.drain_started_at = self.clock.seconds()
        self.handler.begin_drain()

    def stall(self, seconds: float) -> None:
        """Delay all calls and responses on the link for ``seconds``."""
        self.stalled_until = self.clock.seconds() + seconds


class DirectLink:
    """A gateway's client for one endpoint; delays each call and its response by the link."""

    def __init__(self, clock, endpoint: FleetEndpoint):
        self.clock = clock
        self.endpoint = endpoint

    def __getattr__(self, name: str):
        method = getattr(self.endpoint.handler, name)
        return lambda *args: self._call(method, *args)

    def _call(self, method, *args) -> defer.Deferred:
        endpoint = self.endpoint
        response = defer.Deferred(canceller=lambda _: None)
        endpoint.pending_calls[response] = None
        response.addBoth(_remove_pending, endpoint.pending_calls, response)
        if endpoint.terminated:
            response.errback(ConnectionResetError(endpoint.name))
            return response

        def receive_call():
            if not endpoint.terminated:
                defer.maybeDeferred(method, *args).addBoth(send_result)

        def send_result(result):
            self.clock.callLater(self._delay(), deliver, result)

        def deliver(result):
            if not response.called and not endpoint.terminated:
                response.callback(result)

        self.clock.callLater(self._delay(), receive_call)
        return response

    def _delay(self) -> float:
        stalled = max(0.0, self.endpoint.stalled_until - self.clock.seconds())
        return LINK_SECONDS + stalled


def _remove_pending(result, pending_calls: dict, response):
    pending_calls.pop(response, None)
    return result


class DirectPool:
    """Replaces :class:`SidecarPool`."""

    def __init__(self, clock, endpoints_by_name: dict[str, FleetEndpoint]):
        self.clock = clock
        self.endpoints_by_name = endpoints_by_name

    def client(self, address: str) -> defer.Deferred:
        endpoint = self.endpoints_by_name[address]
        if endpoint.terminated:
            return defer.fail(ConnectionRefusedError(address))
        return defer.succeed(DirectLink(self.clock, endpoint))

    def discard(self, address: str) -> None:
        """Does nothing: direct links have no connection."""


class FleetGateway:
    """The membership view, router, dispatcher and relay of one gateway."""

    def __init__(self, clock, name: str, pool: DirectPool, policy: Policy):
        self.membership = MembershipView(clock, owner=name)
        self.router = get_router_by_name(policy.router, clock)
        self.dispatcher = Dispatcher(clock, self.membership, self.router, policy.queue)
        self.metrics = StreamMetrics()
        self.relay = Relay(clock, self.membership, self.dispatcher, pool, self.metrics)
        self.digest_poller = DigestPoller(clock, self.membership, self.dispatcher, pool)


class Fleet:
    """Endpoints and the gateways that route to them.

    :param services_by_endpoint: service names by endpoint name.
    :param engine_settings: function from an endpoint's name to its ``EngineSettings``.
    """

    def __init__(self, clock, services_by_endpoint, engine_settings, gateways: int, policy: Policy):
        self.clock = clock
        self.endpoints_by_name = {
            name: FleetEndpoint(clock, name, service, engine_settings(name), policy)
            for name, service in services_by_endpoint.items()
        }
        pool = DirectPool(clock, self.endpoints_by_name)
        self.gateways = [FleetGateway(clock, f"gateway-{n}", pool, policy) for n in range(gateways)]
        Periodic(clock, HEARTBEAT_SECONDS, self._send_heartbeats).start()
        Periodic(clock, IDLE_SWEEP_SECONDS, self._cancel_idle_streams).start()
        for gateway in self.gateways:
            gateway.digest_poller.rounds.start()

    def _send_heartbeats(self) -> None:
        running = [
            endpoint for endpoint in self.endpoints_by_name.values() if not endpoint.terminated
        ]
        for gateway, endpoint in itertools.product(self.gateways, running):
            gateway.membership.observe(endpoint.record())

    def _cancel_idle_streams(self) -> None:
        for endpoint in self.endpoints_by_name.values():
            endpoint.handler.cancel_idle()

    def preemptions(self) -> int:
        return sum(endpoint.engine.preemptions for endpoint in self.endpoints_by_name.values())

    def prefilled_tokens(self) -> int:
        engines = (endpoint.engine for endpoint in self.endpoints_by_name.values())
        return sum(engine.prefilled_tokens for engine in engines)
