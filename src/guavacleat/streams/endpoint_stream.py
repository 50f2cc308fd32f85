"""Calls to the sidecar of the endpoint that runs a stream: start, pull and cancel."""

import contextlib

from thrift.Thrift import TApplicationException
from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest, UnknownStream
from guavacleat.quarantine import AnswerProgress
from guavacleat.streams.messages import CompletionRequest, ResumePoint, StreamBrokenError

__all__ = [
    "PULL_TIMEOUT_MARGIN_SECONDS",
    "PULL_WAIT_MS",
    "SIDECAR_CALL_TIMEOUT_SECONDS",
    "EndpointStream",
    "call_with_timeout",
    "start_stream",
]

PULL_WAIT_MS = 1000
PULL_TIMEOUT_MARGIN_SECONDS = 2.0
SIDECAR_CALL_TIMEOUT_SECONDS = PULL_WAIT_MS / 1000 + PULL_TIMEOUT_MARGIN_SECONDS


def call_with_timeout(clock, method, *args) -> defer.Deferred:
    """Call a sidecar; fail with TimeoutError if it does not reply in time.

    A healthy sidecar replies to a pull within PULL_WAIT_MS, so one timeout serves all calls.
    """
    calling = defer.maybeDeferred(method, *args)
    return calling.addTimeout(SIDECAR_CALL_TIMEOUT_SECONDS, clock)


class EndpointStream:
    """A stream started on an endpoint.

    :param pool: a ``SidecarPool``.
    :param client: the thrift client of the endpoint's sidecar.
    :param reply: the sidecar's ``StartReply``.
    :ivar progress: the :class:`~guavacleat.quarantine.AnswerProgress` of the run.
    """

    __slots__ = ("clock", "pool", "endpoint", "client", "reply", "started_at", "progress")

    def __init__(self, clock, pool, endpoint, client, reply):
        self.clock = clock
        self.pool = pool
        self.endpoint = endpoint
        self.client = client
        self.reply = reply
        self.started_at = clock.seconds()
        self.progress = AnswerProgress(clock)

    def handle(self) -> str:
        """The handle with which a caller reconnects to this stream."""
        return ResumePoint(self.endpoint.name, self.reply.stream_id, self.reply.generation).handle()

    @defer.inlineCallbacks
    def pull(self, request: CompletionRequest, cursor: int):
        """Fire with the batch at ``cursor``.

        A pull that fails on a connection error is retried once over a new connection. Raises
        StreamBrokenError if the batch cannot be read.
        """
        try:
            batch = yield self._pull(cursor)
            return batch
        except (UnknownStream, TApplicationException) as exc:
            # The connection works: the stream is gone or the engine does not respond.
            failed = exc
        except defer.TimeoutError as exc:
            failed = exc
            self.pool.discard(self.endpoint.address)
        except Exception as exc:  # noqa: BLE001 - any connection error
            failed = exc
            self.pool.discard(self.endpoint.address)
            with contextlib.suppress(Exception):
                self.client = yield self.pool.client(self.endpoint.address)
                batch = yield self._pull(cursor)
                return batch
            self.pool.discard(self.endpoint.address)
        raise StreamBrokenError(
            self.endpoint.name, cursor, failed.__class__.__name__, request.repeatable
        ) from failed

    def _pull(self, cursor: int) -> defer.Deferred:
        return call_with_timeout(
            self.clock, self.client.pull, self.reply.stream_id, cursor, PULL_WAIT_MS
        )

    def cancel_best_effort(self) -> None:
        """Ask the endpoint to cancel the stream, ignoring failures.

        A closed connection may also raise synchronously.
        """
        with contextlib.suppress(Exception):
            self.client.cancel(self.reply.stream_id).addErrback(lambda _: None)


@defer.inlineCallbacks
def start_stream(clock, pool, endpoint, request: CompletionRequest, sent: list[str]):
    """Start ``request`` on ``endpoint``, continuing after the tokens ``sent``.

    Fires with an :class:`EndpointStream`. Raises thrift's NotRun or ConnectError if the endpoint
    cannot have started the request, StreamBrokenError if it may have.
    """
    client = yield pool.client(endpoint.address)
    try:
        reply = yield call_with_timeout(clock, client.start, _start_request(request, sent))
    except (NotRun, ConnectError):
        raise
    except Exception as exc:  # noqa: BLE001 - the start was sent, its reply lost
        if not isinstance(exc, TApplicationException):
            pool.discard(endpoint.address)
        raise StreamBrokenError(
            endpoint.name, len(sent), exc.__class__.__name__, request.repeatable
        ) from exc
    return EndpointStream(clock, pool, endpoint, client, reply)


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
