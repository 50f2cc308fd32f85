"""Starts a generation on an endpoint and pulls its tokens by cursor to a sink.

Pulls are idempotent reads "tokens from index N", so a token is delivered at most once and in
order; a batch whose generation or first index differs from what the relay expects is refused
(:class:`StreamMixupError`) before anything of it reaches the caller.

If the endpoint fails mid-generation (the link resets, or a pull gets no answer in time: the
engine died, was reclaimed, or the link stalled), the relay starts the request on another live
endpoint with the tokens already sent as ``resume_tokens``; that engine prefills them and
continues from the same cursor, so the caller sees one answer, each token once, in order. Only
the batches of the endpoint currently serving are accepted.
"""

import contextlib

from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.errors import NotRunError
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest
from guavacleat.streams.messages import CompletionRequest, StreamBrokenError, StreamMixupError

__all__ = [
    "Relay",
    "StreamProgress",
    "PULL_WAIT_MS",
    "PULL_TIMEOUT_MARGIN",
    "START_ATTEMPTS",
    "MAX_RESUMES",
]

PULL_WAIT_MS = 1000
PULL_TIMEOUT_MARGIN = 2.0
START_ATTEMPTS = 3
MAX_RESUMES = 3


class StreamProgress:
    """What the caller has received: every token text, when the last was sent, how it ended."""

    __slots__ = ("sent", "last_sent_at", "finish_reason")

    def __init__(self, arrival: float):
        self.sent: list[str] = []
        self.last_sent_at = arrival
        self.finish_reason = ""


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
        self.resumes = 0

    @defer.inlineCallbacks
    def run(self, request: CompletionRequest, limits, sink):
        """Deliver every token to ``sink.token(index, text)``, then ``sink.end(reason)``.

        Fires with the :class:`StreamProgress` of the finished stream.

        Raises NotRunError if no endpoint started the generation, StreamBrokenError if it broke
        and no endpoint could resume it, StreamMixupError if a batch did not fit the stream.
        """
        progress = StreamProgress(request.arrival)
        tried: set[str] = set()
        endpoint, client, reply = yield self._start(request, limits, tried, progress)
        for _ in range(MAX_RESUMES + 1):
            self.router.begin(endpoint.name)
            try:
                yield self._pull_all(request, endpoint, client, reply, sink, progress)
                return progress
            except StreamBrokenError as broken:
                failure = broken
                _cancel_quietly(client, reply.stream_id)
            finally:
                self.router.end(endpoint.name)
            try:
                endpoint, client, reply = yield self._start(request, limits, tried, progress)
            except NotRunError:
                break
            self.resumes += 1
        raise failure

    @defer.inlineCallbacks
    def _start(self, request: CompletionRequest, limits, tried: set[str], progress: StreamProgress):
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
                reply = yield client.start(_start_request(request, progress.sent))
            except (NotRun, ConnectError):
                # Refused before the engine read it (draining, engine down, no connection):
                # it did not run there, so another endpoint may take it.
                continue
            return endpoint, client, reply
        raise NotRunError(
            f"no endpoint of service {request.service} could start the request"
            f" (tried {len(tried)}).",
            f"retry after {limits.retry_after} s.",
            retry_after=limits.retry_after,
        )

    @defer.inlineCallbacks
    def _pull_all(self, request, endpoint, client, reply, sink, progress: StreamProgress):
        while True:
            cursor = len(progress.sent)
            pulling = client.pull(reply.stream_id, cursor, PULL_WAIT_MS)
            # A stalled link or a frozen endpoint never answers; without a bound the caller
            # would wait forever. A pull answers within PULL_WAIT_MS when the endpoint is well.
            pulling.addTimeout(PULL_WAIT_MS / 1000 + PULL_TIMEOUT_MARGIN, self.clock)
            try:
                batch = yield pulling
            except Exception as exc:  # noqa: BLE001 - any failure of the link breaks the stream
                raise StreamBrokenError(endpoint.name, cursor, exc.__class__.__name__) from exc
            if batch.generation != reply.generation or batch.first_index != cursor:
                raise StreamMixupError(
                    f"{reply.generation}@{cursor}", f"{batch.generation}@{batch.first_index}"
                )
            for text in batch.tokens:
                self._send(request, sink, progress, text)
            if batch.finished:
                self.metrics.preempted(request.account, request.priority_class, batch.preemptions)
                progress.finish_reason = batch.finish_reason
                sink.end(batch.finish_reason)
                return

    def _send(self, request: CompletionRequest, sink, progress: StreamProgress, text: str) -> None:
        now = self.clock.seconds()
        index = len(progress.sent)
        if index == 0:
            self.metrics.first_token(request.account, request.priority_class, now - request.arrival)
        else:
            elapsed = now - progress.last_sent_at
            self.metrics.token_gap(request.account, request.priority_class, elapsed)
        sink.token(index, text)
        progress.sent.append(text)
        progress.last_sent_at = now


def _cancel_quietly(client, stream_id: str) -> None:
    # Best effort: the old endpoint may be gone; if it is alive, cancelling frees its memory.
    # A dead link may also fail synchronously, hence the suppress.
    with contextlib.suppress(Exception):
        client.cancel(stream_id).addErrback(lambda _: None)


def _start_request(request: CompletionRequest, sent: list[str]) -> StartRequest:
    return StartRequest(
        request_id=request.request_id,
        service_name=request.service,
        account=request.account,
        priority=request.priority,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        resume_tokens=list(sent),
    )
