"""From a caller's request to its route, account and forwarder, and the gateway's own answers."""

import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.forwarding.isolation import check_quarantine
from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.session import StreamSession
from guavacleat.forwarding.timings import GenerationSpeed
from guavacleat.http1.messages import end_to_end_headers
from guavacleat.http1.server import CallerExchange
from guavacleat.lengths import LengthForecast
from guavacleat.peers.table import RESTART_SECONDS
from guavacleat.quarantine import format_fingerprint
from guavacleat.routes import Account, RequestKind, Route, RouteTable, ServiceTraits

__all__ = ["Dispatch", "LAST_STREAM_SECONDS"]

RETRY_AFTER_NO_CONFIGURATION = 0.5
RETRY_AFTER_NO_MEMORY = 0.5
# A caller's next connection goes to another gateway.
RETRY_AFTER_STOPPING = 0.1
RETRY_AFTER_BEHIND = 0.1
# After a stop began, streams are still taken for this long: the balancer needs two questions, a
# second apart, to notice.
LAST_STREAM_SECONDS = 2.5
# Routes whose generations' lengths are remembered, some 2 KB each.
FORECASTS_KEPT = 256
# Connections to a service whose traits are not known, at most.
UNKNOWN_SERVICE_CONNECTIONS = 16


class Dispatch:
    """Handles each caller's request.

    :param holder: the :class:`~guavacleat.routes.holder.RouteHolder`.
    :param context: the :class:`~guavacleat.forwarding.context.ForwardingContext`.
    :param held_bytes_bound: bytes of request bodies that may be held at a time.
    :param peers: the :class:`~guavacleat.peers.PeerTable`.
    """

    def __init__(self, holder, context, metrics, held_bytes_bound: int, peers, seed=None):
        self.holder = holder
        self.context = context
        self.metrics = metrics
        self.held_bytes_bound = held_bytes_bound
        self.peers = peers
        self.held_bytes = 0
        self.in_flight = 0
        self.generation_speed = GenerationSpeed()
        # The routes used last come last.
        self.forecasts_by_route: dict[str, LengthForecast] = {}
        self._began_stopping: float | None = None
        self._stops_at: float | None = None
        self.sessions: set[StreamSession] = set()
        self.plain = PlainForwarder(context)
        self.random = random.Random(seed)

    def stop_at(self, stops_at: float) -> None:
        """The process will end at this clock time, whatever runs then."""
        self._began_stopping = self.context.clock.seconds()
        self._stops_at = stops_at

    def handle(self, exchange: CallerExchange) -> None:
        """Take a request; it is answered later."""
        defer.Deferred.fromCoroutine(self._handle(exchange)).addErrback(self._unforeseen, exchange)

    async def _handle(self, exchange: CallerExchange) -> None:
        arrived = self.context.clock.seconds()
        size = len(exchange.body)
        self.held_bytes += size
        self.in_flight += 1
        request = None
        try:
            request = self._match(exchange, arrived)
            check_quarantine(self.context, request)
            self._check_time_to_stop(request)
            await self._forward(request)
            self._log_end(request, exchange, arrived, None)
        except RefusalError as refusal:
            self._refuse(exchange, refusal)
            self._log_end(request, exchange, arrived, refusal)
        finally:
            self.held_bytes -= size
            self.in_flight -= 1

    async def _forward(self, request: ForwardedRequest) -> None:
        self.context.budget.record_request(request.service)
        if request.route.kind is RequestKind.STREAM:
            session = StreamSession(request, self.context, self.sessions)
            await session.run()
            self._learn(session)
        else:
            await self.plain.forward(request)

    def _learn(self, session: StreamSession) -> None:
        """Take in how fast and how long a stream ran."""
        request, output = session.request, session.memory.output_tokens
        self.generation_speed.observe(session.timings, output)
        if session.completed and request.traits.engine is not None:
            request.forecast.record_finished(output, request.metadata.expected_output_tokens)

    def _forecast(self, route: Route, metadata) -> LengthForecast | None:
        """What is known of the lengths of the route's generations; None off streams."""
        if route.kind is not RequestKind.STREAM or not metadata.max_output_tokens:
            return None
        forecast = self.forecasts_by_route.pop(route.name, None)
        if forecast is None:
            forecast = LengthForecast(metadata.max_output_tokens)
            if len(self.forecasts_by_route) >= FORECASTS_KEPT:
                del self.forecasts_by_route[next(iter(self.forecasts_by_route))]
        self.forecasts_by_route[route.name] = forecast
        return forecast

    def _check_time_to_stop(self, request: ForwardedRequest) -> None:
        """Refuse what a stopping gateway could not finish, so that another gateway runs it.

        For the first seconds the balancer has not noticed the stop and other gateways may be
        stopping too; a stream is then taken if it is expected to end in time. Later, only what
        must end in time by its own deadline is.
        """
        if self._stops_at is None:
            return
        now = self.context.clock.seconds()
        needed = request.deadline - now
        early = now - self._began_stopping <= LAST_STREAM_SECONDS
        if early and request.route.kind is RequestKind.STREAM:
            output = request.expected_tokens() - request.prompt_tokens
            needed = request.route.latency_goal + self.generation_speed.estimate_seconds(output)
        if needed > self._stops_at - now:
            raise RefusalError(RefusalReason.STOPPING, self._retry_after_stop(now))

    def _retry_after_stop(self, now: float) -> float:
        """Seconds until a gateway is there that is not being stopped.

        Where all are stopped in turn, a caller that comes back at once is refused again by the
        next one, and has used up its retry.
        """
        own = self._stops_at - now + RESTART_SECONDS
        peer = self.peers.seconds_until_ready()
        return own if peer is None else max(RETRY_AFTER_STOPPING, min(own, peer))

    def _match(self, exchange: CallerExchange, arrived: float) -> ForwardedRequest:
        """Find the route and the account, or raise :class:`RefusalError`."""
        table = self.holder.table
        if table is None:
            raise RefusalError(RefusalReason.NO_CONFIGURATION, RETRY_AFTER_NO_CONFIGURATION)
        if self.held_bytes > self.held_bytes_bound:
            raise RefusalError(RefusalReason.NO_MEMORY, RETRY_AFTER_NO_MEMORY)
        route = table.match(_host_name(exchange.head.host), exchange.head.path)
        if route is None:
            raise self._not_allowed(RefusalReason.UNKNOWN_ROUTE, table)
        headers = end_to_end_headers(exchange.head.headers)
        metadata = self.context.wire.parse_request_metadata(headers)
        account = self._account(table, route, metadata.key)
        service = route.pick_service(self.random)
        traits = table.services_by_name.get(service)
        if traits is None:
            traits = ServiceTraits(service, UNKNOWN_SERVICE_CONNECTIONS)
        return ForwardedRequest(
            exchange,
            metadata,
            route,
            account,
            service,
            traits,
            table.version,
            arrived,
            headers,
            self._forecast(route, metadata),
        )

    def _account(self, table: RouteTable, route: Route, key: str) -> Account | None:
        """Whose key it is, None where none is needed."""
        if route.public or not table.requires_key:
            return None
        account = table.accounts_by_key.get(key)
        if account is None:
            raise self._not_allowed(RefusalReason.UNKNOWN_KEY, table)
        return account

    def _not_allowed(self, reason: RefusalReason, table: RouteTable) -> RefusalError:
        """The refusal of what ``table`` does not allow.

        A version takes seconds to reach a gateway on a thin link, and longer one that is cut off
        from the store. Where a peer has a newer one, which may have the route or the key, a final
        "no" would turn away callers whom the other gateways serve; told that their request has not
        run, they come back to another one.
        """
        newest = self.peers.newest_configuration()
        if newest is not None and newest > table.version:
            detail = f"version {newest} is in force elsewhere"
            return RefusalError(RefusalReason.BEHIND, RETRY_AFTER_BEHIND, detail)
        return RefusalError(reason)

    def _refuse(self, exchange: CallerExchange, refusal: RefusalError) -> None:
        if exchange.gone or exchange.began:
            return
        headers = self.context.wire.refusal_headers(self._request_id(exchange), refusal.retry_after)
        exchange.answer(refusal.reason.status, headers, b"")

    def _request_id(self, exchange: CallerExchange) -> str:
        """The id that the caller gave, also of a request that no route or account was found for."""
        return self.context.wire.parse_request_metadata(exchange.head.headers).id

    def _unforeseen(self, failure, exchange: CallerExchange) -> None:
        """An error of our own: the request may have run, so its answer must promise nothing."""
        log_message(message_type="request:error", error=failure.getTraceback())
        if exchange.ended or exchange.gone:
            return
        if exchange.began:
            exchange.cut()
        else:
            exchange.answer(RefusalReason.BROKEN.status, [], b"")

    def _log_end(self, request, exchange, arrived: float, refusal: RefusalError | None) -> None:
        seconds = self.context.clock.seconds() - arrived
        outcome = refusal.reason.name if refusal else _outcome(exchange)
        self.metrics.ended(request, outcome, seconds)
        log_message(
            message_type="request:end",
            request=request.metadata.id if request else self._request_id(exchange),
            route=request.route.name if request else exchange.head.target.decode("latin-1"),
            account=request.account_name if request else None,
            config=self.holder.version,
            outcome=outcome,
            status=exchange.status,
            retry_after=refusal.retry_after if refusal else None,
            detail=refusal.detail if refusal else None,
            seconds=round(seconds, 3),
            late=_is_late(request, seconds),
            fingerprint=_fingerprint(request, outcome),
        )


def _is_late(request: ForwardedRequest | None, seconds: float) -> bool:
    """Whether a plain answer missed its goal; a stream's counts for its first event only."""
    if request is None or request.route.kind is RequestKind.STREAM:
        return False
    return seconds > request.route.latency_goal


def _fingerprint(request: ForwardedRequest | None, outcome: str) -> str | None:
    """What to look for in other requests' lines; left out where all went well."""
    if request is None or outcome == "ANSWERED":
        return None
    return format_fingerprint(request.content_key)


def _outcome(exchange: CallerExchange) -> str:
    """How an exchange ended that was not refused."""
    if exchange.was_cut:
        return "CUT"
    return "ANSWERED" if exchange.ended else "GONE"


def _host_name(host: str) -> str:
    """The host header without a port."""
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
