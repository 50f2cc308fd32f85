"""Matches each request to a route and an account, and forwards or refuses it."""

import random

from eliot import log_message
from twisted.internet import defer

from guavacleat.forwarding.isolation import check_quarantine
from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.forwarding.refusals import RefusalError, RefusalReason
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.forwarding.session import StreamSession
from guavacleat.forwarding.timings import GenerationSpeed
from guavacleat.http1.exchange import CallerExchange
from guavacleat.http1.messages import end_to_end_headers
from guavacleat.lengths import LengthForecast
from guavacleat.peers.table import GATEWAY_RESTART_SECONDS
from guavacleat.quarantine import format_fingerprint
from guavacleat.routes import Account, RequestKind, Route, RouteTable, ServiceTraits

__all__ = ["Dispatch", "STOP_ACCEPT_STREAMS_SECONDS"]

# Retry delays in seconds; short if the retry goes to another gateway.
RETRY_AFTER_NO_CONFIGURATION = 0.5
RETRY_AFTER_STOPPING = 0.1
RETRY_AFTER_OUTDATED = 0.1
# After a stop began, streams are accepted for this time: the balancer needs two readiness checks,
# 1 s apart, to notice it.
STOP_ACCEPT_STREAMS_SECONDS = 2.5
# Routes with a length forecast, about 2 KB each.
MAX_FORECASTS = 256
# Parts of a prompt that the log line of a failed request names.
MAX_LOGGED_PARTS = 8
# Connection limit of a service that the configuration does not list.
UNKNOWN_SERVICE_MAX_CONNECTIONS = 16


class Dispatch:
    """Handles callers' requests.

    :param holder: the :class:`~guavacleat.routes.holder.RouteHolder`.
    :param context: the :class:`~guavacleat.forwarding.context.ForwardingContext`.
    :param peers: the :class:`~guavacleat.peers.PeerTable`.
    """

    def __init__(self, holder, context, metrics, peers, seed=None):
        self.holder = holder
        self.context = context
        self.metrics = metrics
        self.peers = peers
        self.in_flight = 0
        self.generation_speed = GenerationSpeed()
        # Ordered by last use, the most recent last.
        self.forecasts_by_route: dict[str, LengthForecast] = {}
        self._stopping_since: float | None = None
        self._stops_at: float | None = None
        self._stopped = False
        self.sessions: set[StreamSession] = set()
        self.plain = PlainForwarder(context)
        self.random = random.Random(seed)

    def begin_stop(self, stops_at: float) -> None:
        """Begin to stop: the process ends at this clock time, whatever is in flight."""
        self._stopping_since = self.context.clock.seconds()
        self._stops_at = self.context.stops_at = stops_at

    def end_stop(self) -> None:
        """Run nothing more: the process is about to end."""
        self._stopped = True

    def handle(self, exchange: CallerExchange) -> None:
        """Start to handle a request; the response is sent later."""
        defer.Deferred.fromCoroutine(self._handle(exchange)).addErrback(
            self._internal_error, exchange
        )

    async def _handle(self, exchange: CallerExchange) -> None:
        arrived = self.context.clock.seconds()
        self.in_flight += 1
        request = None
        try:
            request = self._match(exchange, arrived)
            check_quarantine(self.context, request)
            self._check_stop_deadline(request)
            await self._forward(request)
            self._log_end(request, exchange, arrived, None)
        except RefusalError as refusal:
            self._refuse(exchange, refusal)
            self._log_end(request, exchange, arrived, refusal)
        finally:
            self.in_flight -= 1

    async def _forward(self, request: ForwardedRequest) -> None:
        self.context.budget.record_request(request.service)
        if request.route.kind is RequestKind.STREAM:
            session = StreamSession(request, self.context, self.sessions)
            await session.run()
            self._update_estimates(session)
        else:
            await self.plain.forward(request)

    def _update_estimates(self, session: StreamSession) -> None:
        """Update the speed and length estimates from a stream that ended."""
        request, output = session.request, session.memory.output_tokens
        self.generation_speed.observe(session.timings, output)
        if session.completed and request.traits.engine is not None:
            request.forecast.record_finished(output, request.metadata.expected_output_tokens)

    def _forecast(self, route: Route, metadata) -> LengthForecast | None:
        """The length forecast of the route's generations; None if it is not a stream route."""
        if route.kind is not RequestKind.STREAM or not metadata.max_output_tokens:
            return None
        forecast = self.forecasts_by_route.pop(route.name, None)
        if forecast is None:
            forecast = LengthForecast(metadata.max_output_tokens)
            if len(self.forecasts_by_route) >= MAX_FORECASTS:
                del self.forecasts_by_route[next(iter(self.forecasts_by_route))]
        self.forecasts_by_route[route.name] = forecast
        return forecast

    def _check_stop_deadline(self, request: ForwardedRequest) -> None:
        """Refuse a request that a stopping gateway cannot finish, so that another one runs it.

        In the first seconds, while the balancer has not noticed the stop, a stream is accepted if
        it is expected to end in time. Later, a request is accepted only if its deadline is before
        the end of the process.
        """
        if self._stopped:
            raise self._stop_refusal()
        if self._stops_at is None:
            return
        now = self.context.clock.seconds()
        needed = request.deadline - now
        stop_is_recent = now - self._stopping_since <= STOP_ACCEPT_STREAMS_SECONDS
        if stop_is_recent and request.route.kind is RequestKind.STREAM:
            needed = self._expected_seconds(request)
        if needed > self._stops_at - now:
            raise self._stop_refusal()

    def refuse_queued(self) -> None:
        """Refuse queued streams that would not end before this process if they began now."""
        self.context.queue.refuse_where(self._queued_refusal)

    def _queued_refusal(self, request: ForwardedRequest) -> RefusalError | None:
        time_left = self._stops_at - self.context.clock.seconds()
        return self._stop_refusal() if self._expected_seconds(request) > time_left else None

    def _expected_seconds(self, request: ForwardedRequest) -> float:
        """How long a stream is expected to take from its start."""
        output = request.expected_tokens() - request.prompt_tokens
        return request.route.latency_goal + self.generation_speed.estimate_seconds(output)

    def _stop_refusal(self) -> RefusalError:
        now = self.context.clock.seconds()
        return RefusalError(RefusalReason.STOPPING, self._retry_after_stop(now))

    def _retry_after_stop(self, now: float) -> float:
        """Seconds until some gateway accepts requests.

        During a rolling stop of all gateways, an immediate retry would be refused by the next one
        and use up the caller's retry.
        """
        own_wait = self._stops_at - now + GATEWAY_RESTART_SECONDS
        peer_wait = self.peers.seconds_until_ready()
        return (
            own_wait if peer_wait is None else max(RETRY_AFTER_STOPPING, min(own_wait, peer_wait))
        )

    def _match(self, exchange: CallerExchange, arrived: float) -> ForwardedRequest:
        """Look up the route and the account; raise :class:`RefusalError` without them."""
        table = self.holder.table
        if table is None:
            raise RefusalError(RefusalReason.NO_CONFIGURATION, RETRY_AFTER_NO_CONFIGURATION)
        route = table.match(_host_name(exchange.head.host), exchange.head.path)
        if route is None:
            raise self._lookup_refusal(RefusalReason.UNKNOWN_ROUTE, table)
        headers = end_to_end_headers(exchange.head.headers)
        metadata = self.context.wire.parse_request_metadata(headers)
        account = self._account(table, route, metadata.key)
        service = route.pick_service(self.random)
        traits = table.services_by_name.get(service)
        if traits is None:
            traits = ServiceTraits(service, UNKNOWN_SERVICE_MAX_CONNECTIONS)
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
        """The account of a key; None if the route needs no key."""
        if route.public or not table.requires_key:
            return None
        account = table.accounts_by_key.get(key)
        if account is None:
            raise self._lookup_refusal(RefusalReason.UNKNOWN_KEY, table)
        return account

    def _lookup_refusal(self, reason: RefusalReason, table: RouteTable) -> RefusalError:
        """The refusal of a route or key that ``table`` does not have.

        A gateway on a slow link or without access to the store may have an outdated configuration.
        If a peer reports a newer version, which may have the route or the key, the request is
        refused as not run, so that the caller retries on another gateway.
        """
        newest = self.peers.newest_configuration_version()
        if newest is not None and newest > table.version:
            detail = f"version {newest} is in force elsewhere"
            return RefusalError(RefusalReason.BEHIND, RETRY_AFTER_OUTDATED, detail)
        return RefusalError(reason)

    def _refuse(self, exchange: CallerExchange, refusal: RefusalError) -> None:
        if exchange.disconnected or exchange.head_sent:
            return
        headers = self.context.wire.refusal_headers(self._request_id(exchange), refusal.retry_after)
        exchange.respond(refusal.reason.status, headers, b"")

    def _request_id(self, exchange: CallerExchange) -> str:
        """The caller's request id, also of a request without a matching route or account."""
        return self.context.wire.parse_request_metadata(exchange.head.headers).id

    def _internal_error(self, failure, exchange: CallerExchange) -> None:
        """Handle an internal error with 502, as the request may have run."""
        log_message(message_type="request:error", error=failure.getTraceback())
        if exchange.ended or exchange.disconnected:
            return
        if exchange.head_sent:
            exchange.abort()
        else:
            exchange.respond(RefusalReason.BROKEN.status, [], b"")

    def _log_end(self, request, exchange, arrived: float, refusal: RefusalError | None) -> None:
        seconds = self.context.clock.seconds() - arrived
        outcome = refusal.reason.name if refusal else _outcome(exchange)
        self.metrics.count_request(request, outcome, seconds)
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
            **_content(request, outcome),
        )


def _is_late(request: ForwardedRequest | None, seconds: float) -> bool:
    """Whether a plain response missed its latency goal; a stream's goal is for its first event."""
    if request is None or request.route.kind is RequestKind.STREAM:
        return False
    return seconds > request.route.latency_goal


def _content(request: ForwardedRequest | None, outcome: str) -> dict:
    """Log fields that identify the content of a request that was not answered."""
    if request is None or outcome == "ANSWERED":
        return {"fingerprint": None}
    return {
        "fingerprint": format_fingerprint(request.content_key),
        "parts": request.metadata.shared_part_ids[:MAX_LOGGED_PARTS],
    }


def _outcome(exchange: CallerExchange) -> str:
    """The outcome of an exchange that was not refused."""
    if exchange.aborted:
        return "CUT"
    return "ANSWERED" if exchange.ended else "GONE"


def _host_name(host: str) -> str:
    """The host header without its port."""
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
