"""Starts a generation on an endpoint and pulls its tokens by cursor to a sink.

Pulls are idempotent reads "tokens from index N", so a token is delivered at most once and in
order; a batch whose generation or first index differs from what the relay expects is refused
(:class:`StreamMixupError`) before anything of it reaches the caller.
"""

from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.errors import NotRunError
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.streams.messages import CompletionRequest, StreamBrokenError, StreamMixupError

__all__ = ["Relay", "PULL_WAIT_MS", "START_ATTEMPTS"]

PULL_WAIT_MS = 1000
START_ATTEMPTS = 3


class Relay:
    """Relays streams for one gateway.

    :param clock: the reactor's time.
    :param membership: a ``MembershipView``.
    :param router: a ``Router``.
    :param pool: a ``SidecarPool``.
    :param metrics: a ``StreamMetrics``.
    """

    def __init__(self, clock, membership, router, pool, metrics):
        self.clock = clock
        self.membership = membership
        self.router = router
        self.pool = pool
        self.metrics = metrics

    @defer.inlineCallbacks
    def run(self, request: CompletionRequest, limits, sink):
        """Deliver every token to ``sink.token(index, text)``, then ``sink.end(reason)``.

        Raises NotRunError if no endpoint started the generation, StreamBrokenError if the
        endpoint failed mid-stream, StreamMixupError if a batch did not fit the stream.
        """
        endpoint, client, reply = yield self._start(request, limits)
        self.router.begin(endpoint.name)
        try:
            yield self._pull_all(request, endpoint, client, reply, sink)
        finally:
            self.router.end(endpoint.name)

    @defer.inlineCallbacks
    def _start(self, request: CompletionRequest, limits):
        tried: set[str] = set()
        for _ in range(START_ATTEMPTS):
            candidates = self.membership.live(request.service)
            endpoint = self.router.choose(
                candidates, request.prompt, limits.in_flight_per_endpoint, tried
            )
            if endpoint is None:
                break
            tried.add(endpoint.name)
            try:
                client = yield self.pool.client(endpoint.address)
                reply = yield client.start(_start_request(request))
            except (NotRun, ConnectError):
                # Refused before the engine read it (draining, engine down, no connection):
                # it did not run, so another endpoint may take it.
                continue
            return endpoint, client, reply
        raise NotRunError(
            f"no endpoint of service {request.service} could start the request"
            f" (tried {len(tried)}).",
            f"retry after {limits.retry_after} s.",
            retry_after=limits.retry_after,
        )

    @defer.inlineCallbacks
    def _pull_all(self, request, endpoint, client, reply, sink):
        cursor = 0
        last_sent = request.arrival
        while True:
            try:
                batch = yield client.pull(reply.stream_id, cursor, PULL_WAIT_MS)
            except Exception as exc:  # noqa: BLE001 - any failure of the link breaks the stream
                raise StreamBrokenError(endpoint.name, cursor, exc.__class__.__name__) from exc
            if batch.generation != reply.generation or batch.first_index != cursor:
                raise StreamMixupError(
                    f"{reply.generation}@{cursor}", f"{batch.generation}@{batch.first_index}"
                )
            for text in batch.tokens:
                now = self.clock.seconds()
                self._observe(request, cursor, now - last_sent)
                sink.token(cursor, text)
                last_sent = now
                cursor += 1
            if batch.finished:
                self.metrics.preempted(request.account, request.priority_class, batch.preemptions)
                sink.end(batch.finish_reason)
                return cursor

    def _observe(self, request: CompletionRequest, index: int, seconds: float) -> None:
        if index == 0:
            self.metrics.first_token(request.account, request.priority_class, seconds)
        else:
            self.metrics.token_gap(request.account, request.priority_class, seconds)


def _start_request(request: CompletionRequest) -> StartRequest:
    return StartRequest(
        request_id=request.request_id,
        service_name=request.service,
        account=request.account,
        priority=request.priority,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
    )
