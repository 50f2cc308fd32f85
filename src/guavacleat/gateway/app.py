"""HTTP routes of the gateway (klein).

- ``POST /v1/completions``: JSON ``{"service", "account", "priority_class", "prompt",
  "max_tokens"}``, optional ``Idempotency-Key`` header; answers with SSE events
  ``{"index", "text"}``, then ``{"finish_reason", "tokens"}`` and ``[DONE]``. A request refused
  before any engine started it gets 429 (or 503 with no configuration) with a ``Retry-After``
  header and ``{"error": {"type": "not_run", ...}}``. A retry of a non-repeatable call gets the
  kept answer replayed, or 409 with ``Retry-After`` while the first attempt still runs.
- ``GET /status``: configuration version, live endpoints, in-flight counts, latency summary.
- ``GET /metrics``: Prometheus text.
"""

import math

from eliot import log_message
from klein import Klein
from twisted.internet import defer

from guavacleat.errors import NotRunError
from guavacleat.gateway.requests import RequestError, parse_completion
from guavacleat.gateway.sse import SseSink
from guavacleat.idempotency import AlreadyAcceptedError
from guavacleat.web import json_response

__all__ = ["GatewayApp"]

NO_CONFIG_RETRY = 1.0


class GatewayApp:
    """Routes for one gateway; ``gateway`` is the :class:`GatewayService` it belongs to."""

    app = Klein()

    def __init__(self, gateway):
        self.gateway = gateway

    def resource(self):
        return self.app.resource()

    @app.route("/v1/completions", methods=["POST"])
    @defer.inlineCallbacks
    def completions(self, request):
        gateway = self.gateway
        deployment = gateway.config.deployment
        if deployment is None or gateway.stopping:
            return _refuse(
                request,
                NotRunError(
                    "this gateway has no configuration in force or is stopping.",
                    "apply one with `guavacleat ctl apply FILE`, or retry another gateway.",
                    retry_after=NO_CONFIG_RETRY,
                ),
                status=503,
            )
        key = request.getHeader("idempotency-key")
        try:
            completion = parse_completion(
                request.content.read(), key, deployment, gateway.reactor.seconds()
            )
            gateway.admission.enter(deployment, completion.account)
        except RequestError as exc:
            return json_response(
                request, 400, {"error": {"type": "bad_request", "message": str(exc)}}
            )
        except NotRunError as exc:
            return _refuse(request, exc)
        try:
            result = yield self._serve(request, completion, deployment)
        finally:
            gateway.admission.leave(completion.account)
        return result

    @defer.inlineCallbacks
    def _serve(self, request, completion, deployment):
        gateway = self.gateway
        account, klass = completion.account, completion.priority_class
        try:
            if completion.idempotency_key:
                yield gateway.calls.claim(completion.idempotency_key, completion.request_id)
        except NotRunError as exc:
            gateway.metrics.outcome(account, klass, "not_run")
            return _refuse(request, exc)
        except AlreadyAcceptedError as exc:
            gateway.metrics.outcome(account, klass, "duplicate")
            return _already_accepted(request, exc)
        sink = _open_stream(request)
        gateway.in_flight += 1
        try:
            progress = yield gateway.relay.run(completion, deployment.limits, sink)
            gateway.metrics.outcome(account, klass, "completed")
            if completion.idempotency_key:
                self._keep_answer(completion, progress)
        except NotRunError as exc:
            gateway.metrics.outcome(account, klass, "not_run")
            return _refuse(request, exc)
        except Exception as exc:  # noqa: BLE001 - the caller must hear why its stream ended
            gateway.metrics.outcome(account, klass, "failed")
            sink.error("failed", str(exc))
        finally:
            gateway.in_flight -= 1
        return b""

    def _keep_answer(self, completion, progress) -> None:
        keeping = self.gateway.calls.finish(
            completion.idempotency_key,
            completion.request_id,
            progress.sent,
            progress.finish_reason,
        )
        # Losing the kept answer costs only its replay to a retry; the call ran once.
        keeping.addErrback(
            lambda failure: log_message(
                message_type="idempotency:answer-not-kept", error=str(failure.value)
            )
        )

    @app.route("/status", methods=["GET"])
    def status(self, request):
        return json_response(request, 200, self.gateway.status())

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request):
        body, headers = self.gateway.metrics.exposition()
        for name, value in headers.items():
            request.setHeader(name, value)
        return body


def _open_stream(request) -> SseSink:
    request.setHeader("content-type", "text/event-stream")
    request.setHeader("cache-control", "no-cache")
    return SseSink(request)


def _already_accepted(request, exc: AlreadyAcceptedError) -> bytes:
    """Replay a finished call's kept answer, or tell the retry when to come back."""
    if exc.answer is None:
        request.setHeader("retry-after", str(max(1, math.ceil(exc.retry_after))))
        body = {"error": {"type": "already_accepted", "message": str(exc)}}
        return json_response(request, 409, body)
    tokens, finish_reason = exc.answer
    sink = _open_stream(request)
    for index, text in enumerate(tokens):
        sink.token(index, text)
    sink.end(finish_reason)
    return b""


def _refuse(request, exc: NotRunError, status: int = 429) -> bytes:
    request.setHeader("retry-after", str(max(1, math.ceil(exc.retry_after))))
    body = {"error": {"type": "not_run", "message": str(exc), "retry_after": exc.retry_after}}
    return json_response(request, status, body)
