"""Starts a generation on an endpoint and pulls its tokens by cursor to a sink.

Pulls are idempotent reads "tokens from index N", so a token is delivered at most once and in
order; a batch whose generation or first index differs from what the relay expects is refused
(:class:`StreamMixupError`) before anything of it reaches the caller.

A pull that fails is read once more over a new link (it is idempotent). If the endpoint still
fails (the engine died, was reclaimed, or the link stalled), the relay starts the request on
another live endpoint with the tokens already sent as ``resume_tokens``; that engine prefills
them and continues from the same cursor, so the caller sees one answer, each token once, in
order. Only the batches of the endpoint currently serving are accepted.

A call that may not be repeated is never started on a second endpoint once a start may have
reached the first.
"""

from eliot import log_message
from thrift.Thrift import TApplicationException
from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionRefusedError

from guavacleat.errors import NotRunError
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartReply
from guavacleat.quarantine import CrashTracker, Liveness, QuarantineGuard, QuarantineState
from guavacleat.streams.messages import CompletionRequest, StreamBrokenError, StreamMixupError
from guavacleat.streams.serving import Serving, bounded, start_on

__all__ = ["CALLER_LEFT", "MAX_RESUMES", "Relay", "START_ATTEMPTS", "StreamProgress"]

START_ATTEMPTS = 3
UNREACHABLE_SECONDS = 1.0
FINISHED = "stop"
MAX_RESUMES = 3
CALLER_LEFT = "caller_left"


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
        self.crashes = CrashTracker(clock)
        self.quarantine = QuarantineGuard(clock, self.crashes, self._probe)

    @defer.inlineCallbacks
    def run(self, request: CompletionRequest, limits, sink, before_start=None):
        """Deliver every token to ``sink.token(index, text)``, then ``sink.end(reason)``.

        Fires with the :class:`StreamProgress` of the finished stream. A repeatable stream whose
        caller has gone (``sink.gone``) is no longer pulled and finishes as ``CALLER_LEFT``.
        ``before_start()`` is called, and its Deferred waited for, once an endpoint has been
        found and before the first start is sent.

        Raises NotRunError if no endpoint can have started the generation, StreamBrokenError if
        it broke and no endpoint could resume it, StreamMixupError if a batch did not fit.
        """
        progress = StreamProgress(request.arrival)
        tried: set[str] = set()
        failure = None
        serving = yield self._reattach(request, progress)
        for _ in range(MAX_RESUMES + 1):
            try:
                if serving is None:
                    self._check_quarantine(request)
                    serving = yield self._start(request, limits, tried, progress, before_start)
            except NotRunError:
                if failure is None:
                    raise
                break
            before_start = None
            self.resumes += failure is not None
            sink.set_handle(serving.handle())
            try:
                yield self._pull_all(request, serving, sink, progress)
                if progress.finish_reason == FINISHED:
                    self.quarantine.request_completed(request)
                return progress
            except StreamBrokenError as broken:
                failure = broken
                tried.add(serving.endpoint.name)
                self._note_broken(request, serving.endpoint.name, broken, serving.began)
                serving.cancel_quietly()
            finally:
                self.quarantine.run_finished(request)
                self._release(serving.endpoint, request, progress)
                serving = None
            if not request.repeatable:
                break
        raise failure

    def _check_quarantine(self, request: CompletionRequest) -> None:
        """Raise NotRunError if the request must not run now."""
        status = self.quarantine.status(request)
        if status.state is QuarantineState.REFUSED:
            raise NotRunError(
                f"{status.crashes:g} endpoints ended under requests like this one.",
                f"retry after {status.retry_after:.1f} s, or change the request.",
                status.retry_after,
            )

    def _busier(self, request: CompletionRequest) -> set[str]:
        """Endpoints on which more runs than on others: none to be risked by a suspect."""
        if self.quarantine.is_unrestricted(request):
            return set()
        running = self.router.in_flight_by_name
        names = [record.name for record in self.membership.live(request.service)]
        least = min((running.get(name, 0) for name in names), default=0)
        return {name for name in names if running.get(name, 0) > least}

    @defer.inlineCallbacks
    def _probe(self, name: str):
        """Fire with the :class:`Liveness` of an endpoint: its sidecar asks the engine."""
        record = self.membership.records_by_name.get(name)
        if record is None or record.draining:
            return Liveness.ALIVE
        try:
            client = yield self.pool.client(record.address)
            yield bounded(self.clock, client.load)
        except (TApplicationException, ConnectionRefusedError):
            # The sidecar's engine does not answer, or there is no sidecar.
            return Liveness.ENDED
        except Exception as exc:  # noqa: BLE001 - any other failure of the link
            log_message(message_type="endpoint:unknown", endpoint=name, error=repr(exc))
            return Liveness.UNKNOWN
        return Liveness.ALIVE

    def _note_broken(self, request, name: str, broken: StreamBrokenError, began: float) -> None:
        """Tell of a stream that broke off; one that stalled says nothing of the endpoint's end."""
        if not isinstance(broken.__cause__, defer.TimeoutError):
            self.quarantine.request_interrupted(request, name, began)

    def _release(self, endpoint, request: CompletionRequest, progress: StreamProgress) -> None:
        finished = progress.finish_reason == FINISHED
        self.dispatcher.release(endpoint.name, request, len(progress.sent), finished)

    @defer.inlineCallbacks
    def _reattach(self, request: CompletionRequest, progress: StreamProgress):
        """Go on reading a reconnecting caller's stream where it runs, if it still does.

        Fires with a :class:`Serving`, or None if there is none: the request then starts
        elsewhere with the tokens the caller has, like a stream whose endpoint died.
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
            probe = yield bounded(self.clock, client.pull, point.stream_id, cursor, 0)
        except Exception:  # noqa: BLE001 - the stream cannot be read there any more
            return None
        if probe.generation != point.generation:
            return None
        self.router.begin(record.name)
        reply = StartReply(point.stream_id, point.generation)
        return Serving(self.clock, self.pool, record, client, reply)

    @defer.inlineCallbacks
    def _start(self, request, limits, tried: set[str], progress, before_start):
        """Fire with a :class:`Serving`, its endpoint counted in flight."""
        deadline = self.clock.seconds() + limits.max_wait
        front = bool(progress.sent)
        unknown = None
        while len(tried) < START_ATTEMPTS + MAX_RESUMES:
            try:
                avoided = tried | self._busier(request)
                endpoint = yield self.dispatcher.acquire(request, limits, avoided, front, deadline)
            except NotRunError:
                # An earlier start may have arrived, so "not run" would not be true.
                if unknown is None:
                    raise
                break
            front = True
            serving = None
            began = self.clock.seconds()
            try:
                if before_start is not None:
                    yield before_start()
                    before_start = None
                serving = yield self._start_on(endpoint, request, progress, tried)
            except StreamBrokenError as broken:
                unknown = broken
                self._note_broken(request, endpoint.name, broken, began)
                if not request.repeatable or not self.quarantine.is_unrestricted(request):
                    break
            finally:
                if serving is None:
                    self._release(endpoint, request, progress)
            if serving is not None:
                return serving
        raise unknown or self.dispatcher.refusal(request, limits)

    @defer.inlineCallbacks
    def _start_on(self, endpoint, request, progress: StreamProgress, tried: set[str]):
        """Fire with a :class:`Serving`, or None if ``endpoint`` refused without running it.

        Raises StreamBrokenError if the answer was lost: the endpoint may be running it. Starting
        it elsewhere would run a non-repeatable call twice; a repeatable one is safe, since nobody
        reads the first generation and its sidecar cancels streams left unread.
        """
        self.quarantine.request_sent(request, endpoint.name)
        try:
            serving = yield start_on(self.clock, self.pool, endpoint, request, progress.sent)
        except NotRun as refused:
            self.router.avoid(endpoint.name, refused.retry_after_ms / 1000)
            if not refused.full:
                tried.add(endpoint.name)
            return None
        except ConnectError:
            self.router.avoid(endpoint.name, UNREACHABLE_SECONDS)
            tried.add(endpoint.name)
            return None
        except StreamBrokenError:
            tried.add(endpoint.name)
            raise
        if serving.reply.occupancy is not None:
            self.router.observe(endpoint.name, serving.reply.occupancy, request)
        return serving

    @defer.inlineCallbacks
    def _pull_all(self, request, serving, sink, progress: StreamProgress):
        while True:
            cursor = len(progress.sent)
            batch = yield serving.pull(request, cursor)
            expected = serving.reply.generation
            if batch.generation != expected or batch.first_index != cursor:
                raise StreamMixupError(
                    f"{expected}@{cursor}", f"{batch.generation}@{batch.first_index}"
                )
            if batch.occupancy is not None:
                self.router.observe(serving.endpoint.name, batch.occupancy)
            for text in batch.tokens:
                self._send(request, sink, progress, text)
            if batch.finished:
                self.metrics.preempted(request.account, request.priority_class, batch.preemptions)
                progress.finish_reason = batch.finish_reason
                sink.end(batch.finish_reason)
                return
            if sink.gone and request.repeatable:
                # Left unpulled, the stream stays readable for a reconnecting caller until its
                # sidecar cancels it as idle; pulling on would only fill the engine.
                progress.finish_reason = CALLER_LEFT
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
