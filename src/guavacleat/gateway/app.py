"""HTTP routes of the gateway (klein).

- ``POST /v1/completions``: JSON ``{"service", "account", "priority_class", "prompt",
  "max_tokens"}``, optional ``Idempotency-Key`` header; responds with SSE events ``{"stream"}``
  (the handle to resume with), ``{"index", "text"}``, then ``{"finish_reason", "tokens"}`` and
  ``[DONE]``. A request refused before any engine started it gets 429 (503 if the gateway has no
  configuration or is stopping) with a ``Retry-After`` header and
  ``{"error": {"type": "not_run", ...}}``. A retry of a non-repeatable call gets the stored
  response, or 409 with ``Retry-After`` while the first attempt runs. A caller that lost its
  connection posts the same body to any gateway with ``"resume": {"stream": handle,
  "received": [texts]}`` and gets the remaining tokens (429 ``not_resumed`` if no endpoint can
  resume the stream now).
- ``GET /status``: configuration version, live endpoints, in-flight counts, latency summary.
- ``GET /metrics``: Prometheus text.
"""

import math

from klein import Klein
from twisted.internet import defer

from guavacleat.errors import NotRunError
from guavacleat.gateway.requests import RequestError, parse_completion
from guavacleat.gateway.sse import SseSink
from guavacleat.idempotency import AlreadyAcceptedError, CallGuard, KeyReusedError
from guavacleat.streams.relay import CALLER_LEFT
from guavacleat.web import json_response

__all__ = ["GatewayApp"]

NO_CONFIG_RETRY_SECONDS = 1.0


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
                    retry_after=NO_CONFIG_RETRY_SECONDS,
                ),
                status=503,
            )
        key = request.getHeader("idempotency-key")
        try:
            completion = parse_completion(
                request.content.read(), key, deployment, gateway.reactor.seconds()
            )
        except RequestError as exc:
            return _bad_request(request, exc)
        gateway.in_flight += 1
        try:
            result = yield self._serve(request, completion, deployment)
        finally:
            gateway.in_flight -= 1
        return result

    @defer.inlineCallbacks
    def _serve(self, request, completion, deployment):
        gateway = self.gateway
        account, class_name = completion.account, completion.priority_class
        call = CallGuard(gateway.calls, completion)
        sink = SseSink(request, completion)
        try:
            progress = yield gateway.relay.run(completion, deployment.limits, sink, call.claim)
        except NotRunError as exc:
            released = yield call.release()
            gateway.metrics.record_outcome(account, class_name, "not_run")
            refusal = exc if released else _with_new_key(exc)
            return _refuse(request, refusal, kind=_refusal_kind(completion))
        except AlreadyAcceptedError as exc:
            gateway.metrics.record_outcome(account, class_name, "duplicate")
            return _already_accepted(request, completion, exc)
        except KeyReusedError as exc:
            return _bad_request(request, exc)
        except Exception as exc:  # noqa: BLE001 - reported to the caller as an error event
            call.mark_unknown()
            gateway.metrics.record_outcome(account, class_name, "failed")
            sink.error("failed", str(exc))
            return b""
        call.finish(progress)
        gateway.metrics.record_outcome(account, class_name, _outcome(progress))
        return b""

    @app.route("/status", methods=["GET"])
    def status(self, request):
        return json_response(request, 200, self.gateway.status())

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request):
        body, headers = self.gateway.metrics.exposition()
        for name, value in headers.items():
            request.setHeader(name, value)
        return body


def _with_new_key(exc: NotRunError) -> NotRunError:
    """The refusal of a call whose key may still be claimed: its release was not recorded."""
    remedy = f"retry after {exc.retry_after} s with a new idempotency key: this call has not run."
    return NotRunError(exc.problem, remedy, exc.retry_after)


def _outcome(progress) -> str:
    return "cancelled" if progress.finish_reason == CALLER_LEFT else "completed"


def _bad_request(request, exc) -> bytes:
    return json_response(request, 400, {"error": {"type": "bad_request", "message": str(exc)}})


def _already_accepted(request, completion, exc: AlreadyAcceptedError) -> bytes:
    """Replay the stored response of a finished call, or send 409 with a retry delay."""
    if exc.answer is None:
        if exc.retry_after is not None:
            request.setHeader("retry-after", str(max(1, math.ceil(exc.retry_after))))
        body = {"error": {"type": "already_accepted", "message": str(exc)}}
        return json_response(request, 409, body)
    tokens, finish_reason = exc.answer
    sink = SseSink(request, completion)
    for index, text in enumerate(tokens):
        sink.token(index, text)
    sink.end(finish_reason)
    return b""


def _refusal_kind(completion) -> str:
    """The error type of a refusal; a resumed request has already run in part."""
    return "not_run" if completion.resume is None else "not_resumed"


def _refuse(request, exc: NotRunError, status: int = 429, kind: str = "not_run") -> bytes:
    request.setHeader("retry-after", str(max(1, math.ceil(exc.retry_after))))
    body = {"error": {"type": kind, "message": str(exc), "retry_after": exc.retry_after}}
    return json_response(request, status, body)
