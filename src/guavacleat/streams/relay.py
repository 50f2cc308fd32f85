"""Starts a generation on an endpoint and pulls its tokens by cursor into a sink.

A pull is an idempotent read of the tokens from index N. Tokens are delivered in order and at
most once: a batch with an unexpected generation or first index raises
:class:`StreamMismatchError` before any of its tokens are delivered.

A pull that fails on a connection error is retried once over a new connection. If the endpoint
still fails, the relay starts the request on another endpoint, with the tokens already sent as
``resume_tokens``; that engine prefills them and continues from the same cursor. Only batches of
the current endpoint are accepted.

A non-repeatable call is never started on a second endpoint once a start may have reached the
first.
"""

import functools

from eliot import log_message
from thrift.Thrift import TApplicationException
from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionRefusedError

from guavacleat.errors import NotRunError
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartReply
from guavacleat.quarantine import CrashTracker, Liveness, QuarantineGuard, QuarantineState
from guavacleat.streams.endpoint_stream import EndpointStream, call_with_timeout, start_stream
from guavacleat.streams.messages import CompletionRequest, StreamBrokenError, StreamMismatchError

__all__ = ["CALLER_LEFT", "MAX_RESUMES", "Relay", "START_ATTEMPTS", "StreamProgress"]

START_ATTEMPTS = 3
UNREACHABLE_AVOID_SECONDS = 1.0
FINISH_REASON_STOP = "stop"
MAX_RESUMES = 3
CALLER_LEFT = "caller_left"


class StreamProgress:
    """Progress of a stream: token texts sent, time of the last one, and finish reason."""

    __slots__ = ("sent", "last_sent_at", "finish_reason")

    def __init__(self, arrival: float):
        self.sent: list[str] = []
        self.last_sent_at = arrival
        self.finish_reason = ""


class Relay:
    """Relays the streams of one gateway.

    :param clock: reactor time.
    :param membership: a ``MembershipView``.
    :param dispatcher: a ``Dispatcher``.
    :param pool: a ``SidecarPool``.
    :param metrics: a ``StreamMetrics``.
    """

    def __init__(self, clock, membership, dispatcher, pool, metrics):
        self.clock = clock
        self.membership = membership
        self.dispatcher = dispatcher
        self.router = dispatcher.router
        self.pool = pool
        self.metrics = metrics
        self.resumes = 0
        self.crash_tracker = CrashTracker(clock)
        self.crash_tracker.on_crash = self._refuse_queued
        self.quarantine = QuarantineGuard(clock, self.crash_tracker, self._probe)

    @defer.inlineCallbacks
    def run(self, request: CompletionRequest, limits, sink, before_start=None):
        """Run ``request`` and deliver its tokens to ``sink``.

        Calls ``sink.set_handle(handle)`` whenever the stream starts on an endpoint,
        ``sink.token(index, text)`` for each token, then ``sink.end(reason)``. Fires with the
        :class:`StreamProgress` of the finished stream. If the caller disconnects
        (``sink.disconnected``), a repeatable stream is no longer pulled and finishes as
        ``CALLER_LEFT``.

        :param before_start: called once an endpoint has been acquired; the first start is sent
            after its Deferred has fired.

        Raises NotRunError if no endpoint can have started the generation, StreamBrokenError if
        it failed and no endpoint could resume it, StreamMismatchError on an unexpected batch.
        """
        progress = StreamProgress(request.arrival)
        tried: set[str] = set()
        failure = None
        stream = yield self._reattach(request, progress)
        for _ in range(MAX_RESUMES + 1):
            try:
                if stream is None:
                    self._check_quarantine(request)
                    stream = yield self._start(request, limits, tried, progress, before_start)
            except NotRunError:
                if failure is None:
                    raise
                break
            before_start = None
            self.resumes += failure is not None
            sink.set_handle(stream.handle())
            stream.progress.on_proven = functools.partial(self.quarantine.parts_proven, request)
            try:
                yield self._pull_all(request, stream, sink, progress)
                if progress.finish_reason == FINISH_REASON_STOP:
                    stream.progress.record_completion()
                    self.quarantine.request_completed(request)
                return progress
            except StreamBrokenError as broken:
                failure = broken
                tried.add(stream.endpoint.name)
                self._report_interruption(
                    request,
                    stream.endpoint.name,
                    broken,
                    stream.started_at,
                    stream.progress.proven,
                )
                stream.cancel_best_effort()
            finally:
                self.quarantine.run_finished(request)
                self._release(stream.endpoint, request, progress)
                stream = None
            if not request.repeatable:
                break
        raise failure

    def _refuse_queued(self) -> None:
        """Refuse queued requests that have been quarantined while they waited."""
        self.dispatcher.refuse_where(self._quarantine_error)

    def _check_quarantine(self, request: CompletionRequest) -> None:
        """Raise NotRunError if the request is quarantined."""
        error = self._quarantine_error(request)
        if error is not None:
            raise error

    def _quarantine_error(self, request: CompletionRequest) -> NotRunError | None:
        """The error of a request that must not run; None if it may."""
        status = self.quarantine.status(request)
        if status.state is not QuarantineState.REFUSED:
            return None
        return NotRunError(
            f"{status.crashes:g} endpoints failed while running requests like this one.",
            f"retry after {status.retry_after:.1f} s, or change the request.",
            status.retry_after,
        )

    def _busier_endpoints(self, request: CompletionRequest) -> set[str]:
        """Endpoints that a request under suspicion avoids: all but the least loaded ones."""
        if self.quarantine.is_unrestricted(request):
            return set()
        running = self.router.in_flight_by_name
        names = [record.name for record in self.membership.live(request.service)]
        least = min((running.get(name, 0) for name in names), default=0)
        return {name for name in names if running.get(name, 0) > least}

    @defer.inlineCallbacks
    def _probe(self, name: str):
        """Fire with the :class:`Liveness` of an endpoint, from a load request to its sidecar."""
        record = self.membership.records_by_name.get(name)
        if record is None or record.draining:
            return Liveness.ALIVE
        try:
            client = yield self.pool.client(record.address)
            yield call_with_timeout(self.clock, client.load)
        except (TApplicationException, ConnectionRefusedError):
            # The engine does not respond, or the sidecar is not running.
            return Liveness.ENDED
        except Exception as exc:  # noqa: BLE001 - any other connection error
            log_message(message_type="endpoint:unknown", endpoint=name, error=repr(exc))
            return Liveness.UNKNOWN
        return Liveness.ALIVE

    def _report_interruption(
        self,
        request,
        name: str,
        broken: StreamBrokenError,
        started_at: float,
        parts_proven: bool = False,
    ) -> None:
        """Report an interrupted stream to the quarantine, unless it only timed out."""
        if not isinstance(broken.__cause__, defer.TimeoutError):
            self.quarantine.request_interrupted(request, name, started_at, parts_proven)

    def _release(self, endpoint, request: CompletionRequest, progress: StreamProgress) -> None:
        finished = progress.finish_reason == FINISH_REASON_STOP
        self.dispatcher.release(endpoint.name, request, len(progress.sent), finished)

    @defer.inlineCallbacks
    def _reattach(self, request: CompletionRequest, progress: StreamProgress):
        """Reattach a reconnecting caller to its stream if that is still running.

        Fires with an :class:`EndpointStream`, or None if the stream cannot be read; the request
        is then resumed elsewhere with the tokens the caller has received.
        """
        point = request.resume
        if point is None:
            return None
        progress.sent.extend(point.received)
        record = self.membership.records_by_name.get(point.endpoint)
        if record is None:
            return None
        try:
            client = yield self.pool.client(record.address)
            cursor = len(progress.sent)
            probe = yield call_with_timeout(self.clock, client.pull, point.stream_id, cursor, 0)
        except Exception:  # noqa: BLE001 - the stream cannot be read there
            return None
        if probe.generation != point.generation:
            return None
        self.router.begin(record.name)
        reply = StartReply(point.stream_id, point.generation)
        return EndpointStream(self.clock, self.pool, record, client, reply)

    @defer.inlineCallbacks
    def _start(self, request, limits, tried: set[str], progress, before_start):
        """Fire with an :class:`EndpointStream` whose endpoint counts it as in flight."""
        deadline = self.clock.seconds() + limits.max_wait
        at_front = bool(progress.sent)
        unknown_outcome = None
        while len(tried) < START_ATTEMPTS + MAX_RESUMES:
            try:
                avoided = tried | self._busier_endpoints(request)
                endpoint = yield self.dispatcher.acquire(
                    request, limits, avoided, at_front, deadline
                )
            except NotRunError:
                # An earlier start may have reached its endpoint, so the request may have run.
                if unknown_outcome is None:
                    raise
                break
            at_front = True
            stream = None
            started_at = self.clock.seconds()
            try:
                # It may have been quarantined while it waited.
                self._check_quarantine(request)
                if before_start is not None:
                    yield before_start()
                    before_start = None
                    self._check_quarantine(request)
                stream = yield self._try_start(endpoint, request, progress, tried)
            except NotRunError:
                if unknown_outcome is None:
                    raise
                break
            except StreamBrokenError as broken:
                unknown_outcome = broken
                self._report_interruption(request, endpoint.name, broken, started_at)
                if not request.repeatable or not self.quarantine.is_unrestricted(request):
                    break
            finally:
                if stream is None:
                    self._release(endpoint, request, progress)
            if stream is not None:
                return stream
        raise unknown_outcome or self.dispatcher.refusal(request, limits)

    @defer.inlineCallbacks
    def _try_start(self, endpoint, request, progress: StreamProgress, tried: set[str]):
        """Fire with an :class:`EndpointStream`, or None if ``endpoint`` did not run the request.

        Raises StreamBrokenError if the reply was lost, so that the endpoint may be running the
        request. Only a repeatable request may then start elsewhere: the sidecar cancels the
        first generation as idle.
        """
        self.quarantine.request_sent(request, endpoint.name)
        try:
            stream = yield start_stream(self.clock, self.pool, endpoint, request, progress.sent)
        except NotRun as refused:
            self.router.avoid(endpoint.name, refused.retry_after_ms / 1000)
            if not refused.full:
                tried.add(endpoint.name)
            return None
        except ConnectError:
            self.router.avoid(endpoint.name, UNREACHABLE_AVOID_SECONDS)
            tried.add(endpoint.name)
            return None
        except StreamBrokenError:
            tried.add(endpoint.name)
            raise
        if stream.reply.occupancy is not None:
            self.router.observe(endpoint.name, stream.reply.occupancy, request)
        return stream

    @defer.inlineCallbacks
    def _pull_all(self, request, stream, sink, progress: StreamProgress):
        while True:
            cursor = len(progress.sent)
            batch = yield stream.pull(request, cursor)
            expected = stream.reply.generation
            if batch.generation != expected or batch.first_index != cursor:
                raise StreamMismatchError(
                    f"{expected}@{cursor}", f"{batch.generation}@{batch.first_index}"
                )
            if batch.occupancy is not None:
                self.router.observe(stream.endpoint.name, batch.occupancy)
            if batch.tokens:
                stream.progress.record_output()
            for text in batch.tokens:
                self._send(request, sink, progress, text)
            if batch.finished:
                self.metrics.record_preemptions(
                    request.account, request.priority_class, batch.preemptions
                )
                progress.finish_reason = batch.finish_reason
                sink.end(batch.finish_reason)
                return
            if sink.disconnected and request.repeatable:
                # The stream stays readable for a reconnecting caller until its sidecar cancels
                # it as idle; further pulls would only fill the engine.
                progress.finish_reason = CALLER_LEFT
                return

    def _send(self, request: CompletionRequest, sink, progress: StreamProgress, text: str) -> None:
        now = self.clock.seconds()
        index = len(progress.sent)
        if index == 0:
            self.metrics.record_first_token(
                request.account, request.priority_class, now - request.arrival
            )
        else:
            elapsed = now - progress.last_sent_at
            self.metrics.record_token_gap(request.account, request.priority_class, elapsed)
        sink.token(index, text)
        progress.sent.append(text)
        progress.last_sent_at = now
