"""HTTP client for a plain (non-streaming) service, with the interface of :class:`EngineClient`.

The response to a call is stored and served as a stream of one token, so that calls use the same
admission, retries and idempotency records as generations.
"""

import itertools
import json

from twisted.internet import defer

from guavacleat.partial_json import loads
from guavacleat.sidecar.engine_client import EngineBatch, bounded_http

__all__ = ["PlainClient"]

CALL_TIMEOUT_SECONDS = 2.5
MAX_STORED_ANSWERS = 1000
FINISH_REASON_STOP = "stop"


class PlainClient:
    """Client of the service at ``base_url`` (``http://host:port``); calls ``POST /v1/call``."""

    def __init__(self, base_url: str, http=None):
        self.base_url = base_url.rstrip("/")
        self.http = http or bounded_http(CALL_TIMEOUT_SECONDS)
        # (generation, answer) by stream id.
        self.answers_by_id: dict[str, tuple[str, str]] = {}
        self.call_numbers = itertools.count(1)

    @defer.inlineCallbacks
    def generate(self, request_id: str, prompt: str, max_tokens: int, priority: int, resume=()):
        """Make the call; fire with ``(stream_id, generation)`` once the response is received.

        Raises NotConnectedError if the service cannot have read the call. After any other
        failure the call may have run.
        """
        body = json.dumps({"request_id": request_id, "body": prompt}).encode()
        response = yield self.http.request(
            "POST", self.base_url + "/v1/call", data=body, timeout=CALL_TIMEOUT_SECONDS
        )
        content = yield response.content()
        if response.code != 200:
            raise LookupError(f"service returned HTTP {response.code}")
        answer = loads(content)
        stream_id = f"call-{next(self.call_numbers)}"
        generation = f"{request_id}/{stream_id}"
        self._store_answer(stream_id, generation, answer["answer"])
        return stream_id, generation

    def _store_answer(self, stream_id: str, generation: str, answer: str) -> None:
        # Kept after the first read, since a gateway repeats a pull whose reply was lost.
        self.answers_by_id[stream_id] = generation, answer
        while len(self.answers_by_id) > MAX_STORED_ANSWERS:
            del self.answers_by_id[next(iter(self.answers_by_id))]

    def read(self, stream_id: str, cursor: int, wait: float) -> defer.Deferred:
        """Fire with an :class:`EngineBatch` of the stored answer."""
        if stream_id not in self.answers_by_id:
            return defer.fail(LookupError(stream_id))
        generation, answer = self.answers_by_id[stream_id]
        batch = EngineBatch(generation, cursor, [answer][cursor:], True, FINISH_REASON_STOP, 0)
        return defer.succeed(batch)

    def cancel(self, stream_id: str) -> defer.Deferred:
        """Discard the stored answer; the call itself has already run."""
        self.answers_by_id.pop(stream_id, None)
        return defer.succeed(None)

    def load(self) -> defer.Deferred:
        """Plain services report no load; a capacity of 0 admits every call."""
        return defer.succeed({"kv_capacity": 0, "slots": 0, "running": 0, "waiting": 0})

    def cache_events(self, since: int) -> defer.Deferred:
        return defer.succeed([])

    def order(self, kind: str, target: str, fencing: int) -> defer.Deferred:
        return defer.fail(LookupError("plain services do not accept orders"))
