"""HTTP interface of the stand-in engine, with JSON bodies.

- ``POST /v1/generate`` ``{"request_id", "prompt", "max_tokens", "priority", "resume"}`` ->
  ``{"stream_id", "generation"}``.
- ``GET /v1/streams/<id>?cursor=N&wait=S``: tokens from index N, waiting up to S seconds.
- ``DELETE /v1/streams/<id>``: cancels the stream.
- ``GET /v1/load``: the delayed load report.
- ``GET /v1/cache-events?since=N``: prefix-cache events, delayed and with gaps.
- ``POST /v1/orders`` ``{"kind", "target", "fencing"}``: 200, or 409 for a stale fencing number.
"""

import json

from klein import Klein

from guavacleat.standin.engine import Engine
from guavacleat.web import json_response

__all__ = ["EngineApp"]

MAX_READ_WAIT_SECONDS = 10.0


class EngineApp:
    """Serves one :class:`Engine` over HTTP."""

    app = Klein()

    def __init__(self, engine: Engine):
        self.engine = engine

    def resource(self):
        return self.app.resource()

    @app.route("/v1/generate", methods=["POST"])
    def generate(self, request):
        body = json.loads(request.content.read())
        sequence = self.engine.submit(
            body["request_id"],
            body["prompt"],
            int(body["max_tokens"]),
            int(body["priority"]),
            resume=body.get("resume", []),
        )
        return json_response(
            request, 200, {"stream_id": sequence.stream_id, "generation": sequence.generation}
        )

    @app.route("/v1/streams/<stream_id>", methods=["GET"])
    def read(self, request, stream_id):
        if stream_id not in self.engine.sequences_by_id:
            return json_response(request, 404, {"error": "unknown stream"})
        cursor = int(request.args.get(b"cursor", [b"0"])[0])
        wait = min(float(request.args.get(b"wait", [b"1"])[0]), MAX_READ_WAIT_SECONDS)
        reading = self.engine.read(stream_id, cursor, wait)
        reading.addCallback(
            lambda sequence: json_response(request, 200, _token_batch(sequence, cursor))
        )
        return reading

    @app.route("/v1/streams/<stream_id>", methods=["DELETE"])
    def cancel(self, request, stream_id):
        self.engine.cancel(stream_id)
        return json_response(request, 200, {"ok": True})

    @app.route("/v1/load", methods=["GET"])
    def load(self, request):
        return json_response(request, 200, self.engine.load())

    @app.route("/v1/cache-events", methods=["GET"])
    def cache_events(self, request):
        since = int(request.args.get(b"since", [b"0"])[0])
        events = [list(event) for event in self.engine.cache_events(since)]
        return json_response(request, 200, {"events": events})

    @app.route("/v1/orders", methods=["POST"])
    def order(self, request):
        body = json.loads(request.content.read())
        accepted = self.engine.order(body["kind"], body["target"], int(body["fencing"]))
        status = 200 if accepted else 409
        return json_response(
            request, status, {"accepted": accepted, "highest": self.engine.highest_fencing}
        )


def _token_batch(sequence, cursor: int) -> dict:
    return {
        "generation": sequence.generation,
        "first_index": cursor,
        "tokens": sequence.tokens[cursor:],
        "finished": sequence.finished,
        "finish_reason": sequence.finish_reason,
        "preemptions": sequence.preemptions,
    }
