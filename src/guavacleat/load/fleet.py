"""Gateways, sidecars and stand-in engines in one process, on one clock that may be virtual.

The decisions are the product's own (relay, dispatcher, router, sidecar handler); only the links
between them are replaced, by calls delayed ``LINK_SECONDS`` each way, so a run on
``twisted.internet.task.Clock`` is exact and repeatable. Links can be cut, stalled or refused.
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

# One way between data centres at today's sites is about a millisecond and a half.
LINK_SECONDS = 0.0015
IDLE_SWEEP_SECONDS = 1.0


class Policy:
    """One way of deciding: a router and a queue by name, and whether sidecars keep room.

    :param in_flight: streams a gateway keeps on one endpoint at most.
    :param headroom: share of an engine's memory that its sidecar keeps free.
    """

    __slots__ = ("name", "router", "queue", "keeps_room", "in_flight", "headroom")

    def __init__(
        self,
        name: str,
        router: str,
        queue: str,
        keeps_room: bool,
        in_flight: int = 64,
        headroom: float = HEADROOM,
    ):
        self.name = name
        self.router = router
        self.queue = queue
        self.keeps_room = keeps_room
        self.in_flight = in_flight
        self.headroom = headroom


class DirectEngine:
    """Stands for :class:`EngineClient`, calling an engine without HTTP."""

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
    """One endpoint: its engine, its sidecar's handler, and the state of the link to it."""

    def __init__(self, clock, name: str, service: str, engine_settings, policy: Policy):
        self.clock = clock
        self.name = name
        self.service = service
        self.engine = Engine(clock, engine_settings)
        link = DirectEngine(self.engine)
        self.handler = SidecarHandler(name, link, None, clock, policy.headroom)
        if policy.keeps_room:
            self.handler.refresh_capacity()
        self.dead = False
        self.drain_started_at: float | None = None
        self.stalled_until = 0.0
        # In order of the calls, so that a run repeats exactly.
        self.waiting: dict[defer.Deferred, None] = {}

    def record(self) -> dict:
        draining = self.drain_started_at is not None
        return EndpointRecord(self.name, self.service, "dc", self.name, draining).to_json()

    def kill(self) -> None:
        """The instance dies: its link resets, and it answers nobody any more."""
        self.dead = True
        for pending in list(self.waiting):
            pending.errback(ConnectionResetError(self.name))

    def drain(self) -> None:
        """A planned stop: no new work, and the open streams finish."""
        self.drain_started_at = self.clock.seconds()
        self.handler.begin_drain()

    def stall(self, seconds: float) -> None:
        """Nothing passes the link for ``seconds``; calls wait in it."""
        self.stalled_until = self.clock.seconds() + seconds


class DirectLink:
    """A gateway's client of one endpoint: each call crosses the link and so does its answer."""

    def __init__(self, clock, endpoint: FleetEndpoint):
        self.clock = clock
        self.endpoint = endpoint

    def __getattr__(self, name: str):
        method = getattr(self.endpoint.handler, name)
        return lambda *args: self._call(method, *args)

    def _call(self, method, *args) -> defer.Deferred:
        endpoint = self.endpoint
        answer = defer.Deferred(canceller=lambda _: None)
        endpoint.waiting[answer] = None
        answer.addBoth(_forget, endpoint.waiting, answer)
        if endpoint.dead:
            answer.errback(ConnectionResetError(endpoint.name))
            return answer

        def arrive():
            if not endpoint.dead:
                defer.maybeDeferred(method, *args).addBoth(leave)

        def leave(result):
            self.clock.callLater(self._delay(), deliver, result)

        def deliver(result):
            if not answer.called and not endpoint.dead:
                answer.callback(result)

        self.clock.callLater(self._delay(), arrive)
        return answer

    def _delay(self) -> float:
        stalled = max(0.0, self.endpoint.stalled_until - self.clock.seconds())
        return LINK_SECONDS + stalled


def _forget(result, waiting: dict, answer):
    waiting.pop(answer, None)
    return result


class DirectPool:
    """Stands for :class:`SidecarPool`."""

    def __init__(self, clock, endpoints_by_name: dict[str, FleetEndpoint]):
        self.clock = clock
        self.endpoints_by_name = endpoints_by_name

    def client(self, address: str) -> defer.Deferred:
        endpoint = self.endpoints_by_name[address]
        if endpoint.dead:
            return defer.fail(ConnectionRefusedError(address))
        return defer.succeed(DirectLink(self.clock, endpoint))

    def discard(self, address: str) -> None:
        """A direct link has no connection to drop."""


class FleetGateway:
    """What one gateway decides with."""

    def __init__(self, clock, name: str, pool: DirectPool, policy: Policy):
        self.membership = MembershipView(clock, owner=name)
        self.router = get_router_by_name(policy.router, clock)
        self.dispatcher = Dispatcher(clock, self.membership, self.router, policy.queue)
        self.metrics = StreamMetrics()
        self.relay = Relay(clock, self.membership, self.dispatcher, pool, self.metrics)
        self.poll = DigestPoller(clock, self.membership, self.dispatcher, pool)


class Fleet:
    """Endpoints by name and the gateways before them.

    :param services_by_endpoint: service names by endpoint name.
    :param engine_settings: called with an endpoint's name, gives its ``EngineSettings``.
    """

    def __init__(self, clock, services_by_endpoint, engine_settings, gateways: int, policy: Policy):
        self.clock = clock
        self.endpoints_by_name = {
            name: FleetEndpoint(clock, name, service, engine_settings(name), policy)
            for name, service in services_by_endpoint.items()
        }
        pool = DirectPool(clock, self.endpoints_by_name)
        self.gateways = [FleetGateway(clock, f"gateway-{n}", pool, policy) for n in range(gateways)]
        Periodic(clock, HEARTBEAT_SECONDS, self._beat).start()
        Periodic(clock, IDLE_SWEEP_SECONDS, self._sweep).start()
        for gateway in self.gateways:
            gateway.poll.rounds.start()

    def _beat(self) -> None:
        living = [endpoint for endpoint in self.endpoints_by_name.values() if not endpoint.dead]
        for gateway, endpoint in itertools.product(self.gateways, living):
            gateway.membership.observe(endpoint.record())

    def _sweep(self) -> None:
        for endpoint in self.endpoints_by_name.values():
            endpoint.handler.cancel_idle()

    def preemptions(self) -> int:
        return sum(endpoint.engine.preemptions for endpoint in self.endpoints_by_name.values())

    def prompt_tokens_read(self) -> int:
        engines = (endpoint.engine for endpoint in self.endpoints_by_name.values())
        return sum(engine.prompt_tokens_read for engine in engines)
