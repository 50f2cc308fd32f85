"""The gateway's HTTP responses to refused requests."""

import json
from pathlib import Path

import pytest
from treq.testing import StubTreq
from twisted.internet import defer

import guavacleat
from guavacleat.config import load_settings
from guavacleat.errors import NotRunError
from guavacleat.gateway.app import GatewayApp
from guavacleat.idempotency import CallGuard
from guavacleat.metrics import StreamMetrics
from guavacleat.streams.messages import ResumePoint
from tests.conftest import result_of

NILE = load_settings(Path(guavacleat.__file__).parent / "examples" / "nile.json5")
BODY = {
    "service": "enquiry-lm",
    "account": "carrier-04",
    "priority_class": "standard",
    "prompt": "summary",
}
RESUME = {"stream": ResumePoint("e1", "s1", "g1").handle(), "received": ["half"]}


class RefusingRelay:
    def run(self, *args):
        return defer.fail(NotRunError("no endpoint has room.", "retry after 2 s.", 2.0))


class Gateway:
    """The parts of ``GatewayService`` that the app needs."""

    def __init__(self, clock):
        self.reactor = clock
        self.relay = RefusingRelay()
        self.metrics = StreamMetrics()
        self.config = self
        self.deployment = NILE
        self.calls = None
        self.stopping = False
        self.in_flight = 0


@pytest.mark.parametrize(
    "body,kind", [(BODY, "not_run"), (dict(BODY, resume=RESUME), "not_resumed")]
)
def test_refusal_type_depends_on_resume(clock, body, kind):
    """A refused resume must not be reported as not run: part of the stream was delivered."""
    http = StubTreq(GatewayApp(Gateway(clock)).resource())
    posting = http.post("http://gateway/v1/completions", data=json.dumps(body).encode())
    response = result_of(posting, http.flush)
    answer = result_of(response.json(), http.flush)
    assert (response.code, answer["error"]["type"]) == (429, kind)
    assert response.headers.getRawHeaders("retry-after") == ["2"]


class UnreleasedClaim(CallGuard):
    """A claim whose release the store does not record."""

    def claim(self):
        self.claimed = True
        return defer.succeed(None)

    def release(self):
        return defer.succeed(False)


def test_refusal_asks_for_a_new_key_if_the_claim_was_not_released(clock, monkeypatch):
    """A retry with a key that is still claimed would be refused as already accepted."""
    monkeypatch.setattr("guavacleat.gateway.app.CallGuard", UnreleasedClaim)
    http = StubTreq(GatewayApp(Gateway(clock)).resource())
    posting = http.post("http://gateway/v1/completions", data=json.dumps(BODY).encode())
    response = result_of(posting, http.flush)
    answer = result_of(response.json(), http.flush)
    assert (response.code, answer["error"]["type"]) == (429, "not_run")
    assert "new idempotency key" in answer["error"]["message"]
