"""One stream as it runs on one endpoint: its start, its pulls, its end, over bounded calls."""

import contextlib

from thrift.Thrift import TApplicationException
from twisted.internet import defer
from twisted.internet.error import ConnectError

from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartRequest, UnknownStream
from guavacleat.streams.messages import CompletionRequest, ResumePoint, StreamBrokenError

__all__ = ["PULL_TIMEOUT_MARGIN", "PULL_WAIT_MS", "START_TIMEOUT", "Serving", "bounded", "start_on"]

PULL_WAIT_MS = 1000
PULL_TIMEOUT_MARGIN = 2.0
START_TIMEOUT = PULL_WAIT_MS / 1000 + PULL_TIMEOUT_MARGIN


def bounded(clock, method, *args) -> defer.Deferred:
    """Call a sidecar with a bound on the wait.

    A stalled link or a frozen endpoint never answers; without a bound the caller would wait
    forever. A pull answers within PULL_WAIT_MS when the endpoint is well.
    """
    calling = defer.maybeDeferred(method, *args)
    return calling.addTimeout(START_TIMEOUT, clock)


class Serving:
    """The endpoint now serving a stream, its link, and the answer to its start.

    :param pool: a ``SidecarPool``.
    """

    __slots__ = ("clock", "pool", "endpoint", "client", "reply", "began")

    def __init__(self, clock, pool, endpoint, client, reply):
        self.clock = clock
        self.pool = pool
        self.endpoint = endpoint
        self.client = client
        self.reply = reply
        self.began = clock.seconds()

    def handle(self) -> str:
        """What a caller brings to reconnect to this stream."""
        return ResumePoint(self.endpoint.name, self.reply.stream_id, self.reply.generation).handle()

    @defer.inlineCallbacks
    def pull(self, request: CompletionRequest, cursor: int):
        """Fire with the batch at ``cursor``; a failed pull is read once more over a new link.

        Raises StreamBrokenError if the endpoint does not give it.
        """
        try:
            batch = yield self._pull(cursor)
            return batch
        except (UnknownStream, TApplicationException) as exc:
            # The link is well: the endpoint has lost the stream or its engine does not answer.
            failed = exc
        except defer.TimeoutError as exc:
            failed = exc
            self.pool.discard(self.endpoint.address)
        except Exception as exc:  # noqa: BLE001 - any failure of the link
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
        return bounded(self.clock, self.client.pull, self.reply.stream_id, cursor, PULL_WAIT_MS)

    def cancel_quietly(self) -> None:
        """Free the endpoint's memory if it is alive; it may be gone, which is no matter.

        A dead link may also fail synchronously, hence the suppress.
        """
        with contextlib.suppress(Exception):
            self.client.cancel(self.reply.stream_id).addErrback(lambda _: None)


@defer.inlineCallbacks
def start_on(clock, pool, endpoint, request: CompletionRequest, sent: list[str]):
    """Start ``request`` on ``endpoint``, going on after ``sent``; fire with a :class:`Serving`.

    Raises thrift's NotRun or ConnectError if the endpoint cannot have started it, and
    StreamBrokenError if the answer was lost, so that it may have.
    """
    client = yield pool.client(endpoint.address)
    try:
        reply = yield bounded(clock, client.start, _start_request(request, sent))
    except (NotRun, ConnectError):
        raise
    except Exception as exc:  # noqa: BLE001 - the start was sent and its answer lost
        if not isinstance(exc, TApplicationException):
            pool.discard(endpoint.address)
        raise StreamBrokenError(
            endpoint.name, len(sent), exc.__class__.__name__, request.repeatable
        ) from exc
    return Serving(clock, pool, endpoint, client, reply)


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
