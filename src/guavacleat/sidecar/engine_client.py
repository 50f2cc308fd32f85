"""HTTP client for an engine's streaming API, as ``standin.engine_http`` implements it."""

import json

from twisted.internet import defer

from guavacleat.http1.calls import PooledHttp
from guavacleat.http1.pool import ConnectionPool
from guavacleat.partial_json import loads

__all__ = ["EngineBatch", "EngineClient", "bounded_http"]

CALL_TIMEOUT_SECONDS = 5.0
# Time without received data after which a response fails.
READ_TIMEOUT_SECONDS = 5.0
# Maximum size of an answer of an engine or a service.
MAX_ANSWER_BYTES = 4 << 20


def bounded_http(read_timeout: float) -> PooledHttp:
    """An HTTP client for engines and services, whose answers may never end.

    It isn't treq: that bounds neither the number of header lines nor the memory of chunked bodies.
    """
    from twisted.internet import reactor

    return PooledHttp(reactor, ConnectionPool(reactor), read_timeout, MAX_ANSWER_BYTES)


class EngineBatch:
    """Tokens starting at ``first_index``, returned by one read of a stream."""

    __slots__ = ("generation", "first_index", "tokens", "finished", "finish_reason", "preemptions")

    def __init__(self, generation, first_index, tokens, finished, finish_reason, preemptions):
        self.generation = generation
        self.first_index = first_index
        self.tokens = tokens
        self.finished = finished
        self.finish_reason = finish_reason
        self.preemptions = preemptions


class EngineClient:
    """Client of the engine at ``base_url`` (``http://host:port``)."""

    def __init__(self, base_url: str, http=None):
        self.base_url = base_url.rstrip("/")
        self.http = http or bounded_http(READ_TIMEOUT_SECONDS)

    @defer.inlineCallbacks
    def generate(self, request_id: str, prompt: str, max_tokens: int, priority: int, resume=()):
        """Fire with ``(stream_id, generation)`` once the engine has queued the generation.

        :param resume: tokens already sent to the caller; the engine prefills them and continues
            the generation from there.
        """
        body = {
            "request_id": request_id,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "priority": priority,
            "resume": list(resume),
        }
        answer = yield self._request_json("POST", "/v1/generate", body)
        return answer["stream_id"], answer["generation"]

    @defer.inlineCallbacks
    def read(self, stream_id: str, cursor: int, wait: float):
        """Fire with an :class:`EngineBatch` of the tokens starting at ``cursor``.

        :param wait: seconds the engine may wait for a new token (long poll).
        """
        path = f"/v1/streams/{stream_id}?cursor={cursor}&wait={wait}"
        answer = yield self._request_json("GET", path, timeout=wait + CALL_TIMEOUT_SECONDS)
        return EngineBatch(**answer)

    def cancel(self, stream_id: str) -> defer.Deferred:
        return self._request_json("DELETE", f"/v1/streams/{stream_id}")

    @defer.inlineCallbacks
    def order(self, kind: str, target: str, fencing: int):
        """Fire with True if the engine applied the order, False if it refused it as stale."""
        body = {"kind": kind, "target": target, "fencing": fencing}
        data = json.dumps(body).encode()
        response = yield self.http.request(
            "POST", self.base_url + "/v1/orders", data=data, timeout=CALL_TIMEOUT_SECONDS
        )
        yield response.content()
        return response.code == 200

    def load(self) -> defer.Deferred:
        return self._request_json("GET", "/v1/load")

    @defer.inlineCallbacks
    def cache_events(self, since: int):
        """Fire with ``[(number, "stored" or "evicted", block)]`` for the events after ``since``."""
        answer = yield self._request_json("GET", f"/v1/cache-events?since={since}")
        return answer["events"]

    @defer.inlineCallbacks
    def _request_json(
        self, method: str, path: str, body=None, timeout: float = CALL_TIMEOUT_SECONDS
    ):
        data = None if body is None else json.dumps(body).encode()
        response = yield self.http.request(method, self.base_url + path, data=data, timeout=timeout)
        content = yield response.content()
        if response.code != 200:
            raise LookupError(f"engine returned HTTP {response.code} for {method} {path}")
        return loads(content)
