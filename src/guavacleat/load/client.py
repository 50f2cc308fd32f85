"""Client that posts a completion request and reads the SSE events of the response."""

import json

import treq
from twisted.internet import defer

__all__ = ["CompletionResult", "stream_completion"]

EVENT_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"


class CompletionResult:
    """Response to one request, as received by the caller.

    :ivar status: HTTP status.
    :ivar indices: the ``index`` of each token event, in arrival order.
    :ivar texts: the text of each token event, in arrival order.
    :ivar arrivals: arrival time of each token event, in reactor seconds.
    :ivar finish_reason: from the final event, or "" without one.
    :ivar error: the error object of an error response or event, or None.
    :ivar stream: the handle to reconnect with, from the latest stream event.
    :ivar retry_after: the Retry-After header, in seconds, or None.
    """

    __slots__ = (
        "status",
        "indices",
        "texts",
        "arrivals",
        "finish_reason",
        "error",
        "stream",
        "retry_after",
    )

    def __init__(self):
        self.status = 0
        self.indices: list[int] = []
        self.texts: list[str] = []
        self.arrivals: list[float] = []
        self.finish_reason = ""
        self.error = None
        self.stream = ""
        self.retry_after: float | None = None


class _EventReader:
    """Splits a byte stream into SSE events and fills a :class:`CompletionResult`."""

    def __init__(self, result: CompletionResult, clock):
        self.result = result
        self.clock = clock
        self.buffer = b""

    def feed(self, data: bytes) -> None:
        self.buffer += data
        *events, self.buffer = self.buffer.split(b"\n\n")
        for event in events:
            self._handle_event(event.strip())

    def _handle_event(self, event: bytes) -> None:
        if not event.startswith(EVENT_PREFIX) or event[len(EVENT_PREFIX) :] == DONE_EVENT:
            return
        body = json.loads(event[len(EVENT_PREFIX) :])
        if "index" in body:
            self.result.indices.append(body["index"])
            self.result.texts.append(body["text"])
            self.result.arrivals.append(self.clock.seconds())
        elif "stream" in body:
            self.result.stream = body["stream"]
        elif "finish_reason" in body:
            self.result.finish_reason = body["finish_reason"]
        elif "error" in body:
            self.result.error = body["error"]


@defer.inlineCallbacks
def stream_completion(clock, url: str, body: dict, idempotency_key: str | None = None, http=treq):
    """Post ``body`` to ``url`` (the gateway's ``/v1/completions``); fire with the result."""
    headers = {"content-type": ["application/json"]}
    if idempotency_key:
        headers["idempotency-key"] = [idempotency_key]
    result = CompletionResult()
    response = yield http.post(url, data=json.dumps(body).encode(), headers=headers)
    result.status = response.code
    retry_after = response.headers.getRawHeaders("retry-after")
    result.retry_after = float(retry_after[0]) if retry_after else None
    if response.code != 200:
        payload = yield response.json()
        result.error = payload.get("error")
        return result
    reader = _EventReader(result, clock)
    yield treq.collect(response, reader.feed)
    return result
