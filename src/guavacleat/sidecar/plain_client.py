"""HTTP client for a plain service beside the sidecar, with the calls of :class:`EngineClient`.

A plain service answers a call whole. The answer is kept here as a stream of one token, so that
calls take the same path as generations: the same admission, the same retries, the same records
of calls that may not be repeated.
"""

import itertools
import json

from twisted.internet import defer

from guavacleat.sidecar.engine_client import EngineBatch
from guavacleat.treq_http import TreqHttp

__all__ = ["PlainClient"]

CALL_TIMEOUT = 2.5
KEPT_ANSWERS = 1000
FINISHED = "stop"


class PlainClient:
    """Calls the service at ``base_url`` (``http://host:port``) with ``POST /v1/call``."""

    def __init__(self, base_url: str, http=None):
        self.base_url = base_url.rstrip("/")
        self.http = http or TreqHttp(read_timeout=CALL_TIMEOUT)
        # Generation and answer of each call.
        self.answers_by_id: dict[str, tuple[str, str]] = {}
        self.numbers = itertools.count(1)

    @defer.inlineCallbacks
    def generate(self, request_id: str, prompt: str, max_tokens: int, priority: int, resume=()):
        """Make the call; fire with ``(stream_id, generation)`` once its answer is here.

        Raises ConnectionRefusedError if the service cannot have read the call; after any other
        failure it may have run.
        """
        body = json.dumps({"request_id": request_id, "body": prompt}).encode()
        response = yield self.http.request(
            "POST", self.base_url + "/v1/call", data=body, timeout=CALL_TIMEOUT
        )
        content = yield response.content()
        if response.code != 200:
            raise LookupError(f"the service answered {response.code}")
        answer = json.loads(content)
        stream_id = f"call-{next(self.numbers)}"
        generation = f"{request_id}/{stream_id}"
        self._keep(stream_id, generation, answer["answer"])
        return stream_id, generation

    def _keep(self, stream_id: str, generation: str, answer: str) -> None:
        # Kept after it was read, since a pull whose answer was lost is read again.
        self.answers_by_id[stream_id] = generation, answer
        while len(self.answers_by_id) > KEPT_ANSWERS:
            del self.answers_by_id[next(iter(self.answers_by_id))]

    def read(self, stream_id: str, cursor: int, wait: float) -> defer.Deferred:
        """Fire with the answer as an :class:`EngineBatch`."""
        if stream_id not in self.answers_by_id:
            return defer.fail(LookupError(stream_id))
        generation, answer = self.answers_by_id[stream_id]
        batch = EngineBatch(generation, cursor, [answer][cursor:], True, FINISHED, 0)
        return defer.succeed(batch)

    def cancel(self, stream_id: str) -> defer.Deferred:
        """Forget the answer; the call itself has run."""
        self.answers_by_id.pop(stream_id, None)
        return defer.succeed(None)

    def load(self) -> defer.Deferred:
        """A plain service reports no memory; 0 means that all calls fit."""
        return defer.succeed({"kv_capacity": 0, "slots": 0, "running": 0, "waiting": 0})

    def cache_events(self, since: int) -> defer.Deferred:
        return defer.succeed([])

    def order(self, kind: str, target: str, fencing: int) -> defer.Deferred:
        return defer.fail(LookupError("a plain service takes no orders"))
