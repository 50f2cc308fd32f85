"""Stand-in plain service: counts how often each call ran, and can drop responses.

- ``POST /v1/call`` ``{"request_id", "body"}`` -> ``{"answer"}`` after ``work_seconds``.
- ``GET /v1/runs`` -> ``{"runs": {body: count}}``.
- ``POST /v1/faults`` ``{"lose_answers": n}``: the next n calls run but get no response.
"""

import json
from collections import Counter

from klein import Klein
from twisted.internet import defer, task
from twisted.internet.interfaces import IReactorTime

from guavacleat.web import json_response

__all__ = ["ServiceApp"]


class ServiceApp:
    """State and HTTP interface of one plain service."""

    app = Klein()

    def __init__(self, clock: IReactorTime, work_seconds: float = 0.02):
        self.clock = clock
        self.work_seconds = work_seconds
        self.runs_by_body: Counter[str] = Counter()
        self.lose_answers = 0

    def resource(self):
        return self.app.resource()

    @app.route("/v1/call", methods=["POST"])
    @defer.inlineCallbacks
    def call(self, request):
        body = json.loads(request.content.read())["body"]
        self.runs_by_body[body] += 1
        yield task.deferLater(self.clock, self.work_seconds)
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abortConnection()
            yield defer.Deferred()
        return json_response(request, 200, {"answer": f"done: {body}"})

    @app.route("/v1/runs", methods=["GET"])
    def runs(self, request):
        return json_response(request, 200, {"runs": dict(self.runs_by_body)})

    @app.route("/v1/faults", methods=["POST"])
    def set_faults(self, request):
        self.lose_answers = int(json.loads(request.content.read())["lose_answers"])
        return json_response(request, 200, {"ok": True})
