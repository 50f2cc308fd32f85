"""Contract of the relay against fake sidecars, with the sidecar's faults in a table."""

import pytest
from twisted.internet import defer

from guavacleat.config.model import Limits
from guavacleat.errors import NotRunError
from guavacleat.membership import MembershipView
from guavacleat.metrics import StreamMetrics
from guavacleat.protocol.gen.sidecar.ttypes import NotRun, StartReply, TokenBatch
from guavacleat.routing import Router
from guavacleat.streams import CompletionRequest, Relay, StreamMixupError
from guavacleat.streams.messages import StreamBrokenError
from tests.conftest import result_of

LIMITS = Limits(queue_per_account=4, in_flight_per_endpoint=2, retry_after=1.5)


class FakeSidecar:
    """Answers ``start`` from ``start_outcome`` and ``pull`` from a list of batches or errors."""

    def __init__(self, name, batches, start_outcome=None):
        self.name = name
        self.batches = list(batches)
        self.start_outcome = start_outcome
        self.started = 0

    def start(self, request):
        self.started += 1
        if isinstance(self.start_outcome, Exception):
            return defer.fail(self.start_outcome)
        return defer.succeed(StartReply(stream_id=f"s-{self.name}", generation=f"g-{self.name}"))

    def pull(self, stream_id, cursor, wait_ms):
        item = self.batches.pop(0)
        return defer.fail(item) if isinstance(item, Exception) else defer.succeed(item)


class FakePool:
    def __init__(self, sidecars_by_address):
        self.sidecars_by_address = sidecars_by_address

    def client(self, address):
        return defer.succeed(self.sidecars_by_address[address])


class ListSink:
    def __init__(self):
        self.tokens = []
        self.reason = None

    def token(self, index, text):
        self.tokens.append((index, text))

    def end(self, reason):
        self.reason = reason


def batch(generation, first, tokens, finished=False):
    return TokenBatch(generation, first, tokens, finished, "stop" if finished else "", 0)


def make_relay(clock, sidecars):
    view = MembershipView(clock)
    for sidecar in sidecars:
        view.observe(
            {
                "name": sidecar.name,
                "service": "enquiry-lm",
                "data_centre": "nasr-a",
                "address": sidecar.name,
                "draining": False,
                "beat": 1,
            }
        )
    pool = FakePool({sidecar.name: sidecar for sidecar in sidecars})
    return Relay(clock, view, Router(), pool, StreamMetrics())


def request(clock):
    return CompletionRequest("r1", "enquiry-lm", "acc", "interactive", 0, "p", 10, None, 0.0)


def test_tokens_delivered_once_in_order_across_batches(clock):
    sidecar = FakeSidecar("a", [batch("g-a", 0, ["x", "y"]), batch("g-a", 2, ["z"], True)])
    sink = ListSink()
    result_of(make_relay(clock, [sidecar]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x"), (1, "y"), (2, "z")] and sink.reason == "stop"


PULL_FAULTS = [
    # (batches the sidecar answers, error the relay must raise, tokens sent before it)
    ([batch("g-other", 0, ["x"])], StreamMixupError, 0),
    ([batch("g-a", 0, ["x"]), batch("g-a", 0, ["x"])], StreamMixupError, 1),
    ([batch("g-a", 0, ["x"]), batch("g-a", 3, ["w"])], StreamMixupError, 1),
    ([batch("g-a", 0, ["x"]), ConnectionResetError()], StreamBrokenError, 1),
]


@pytest.mark.parametrize("batches,error,sent", PULL_FAULTS)
def test_pull_fault_stops_before_a_wrong_token(clock, batches, error, sent):
    """
    Symptom: a caller could see a token twice, skipped, or from another request's generation.
    Sequence: the sidecar answers a pull with a crossed, replayed, skipping or failed batch.
    Cause: a relay that trusted batches blindly would forward them; it must check each.
    """
    sink = ListSink()
    relay = make_relay(clock, [FakeSidecar("a", batches)])
    with pytest.raises(error):
        result_of(relay.run(request(clock), LIMITS, sink))
    assert len(sink.tokens) == sent


def test_not_run_on_one_endpoint_moves_to_the_next(clock):
    refusing = FakeSidecar("a", [], start_outcome=NotRun("draining", 200))
    serving = FakeSidecar("b", [batch("g-b", 0, ["x"], True)])
    sink = ListSink()
    result_of(make_relay(clock, [refusing, serving]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x")] and refusing.started + serving.started == 2


def test_all_endpoints_refusing_is_not_run_with_retry_after(clock):
    """
    Symptom: a caller waits with no answer when every endpoint is leaving.
    Sequence: both endpoints refuse to start the request as not run.
    Cause: the refusal must reach the caller at once, with when to come back.
    """
    refusing = [FakeSidecar(n, [], start_outcome=NotRun("draining", 200)) for n in "ab"]
    with pytest.raises(NotRunError) as caught:
        result_of(make_relay(clock, refusing).run(request(clock), LIMITS, ListSink()))
    assert caught.value.retry_after == LIMITS.retry_after


class ResumingSidecar(FakeSidecar):
    """Serves a resumed generation: expects the tokens already sent, continues after them."""

    def __init__(self, name, batches, expected_resume):
        super().__init__(name, batches)
        self.expected_resume = expected_resume
        self.resume_seen = None

    def start(self, request):
        self.resume_seen = list(request.resume_tokens or [])
        return super().start(request)


def test_endpoint_dying_mid_stream_resumes_elsewhere_once_in_order(clock):
    """
    Symptom: a caller's summary stops halfway with an error when its engine dies.
    Sequence: endpoint a sends tokens 0-1, then its link resets; endpoint b is live.
    Cause: the relay gave up on the first link failure instead of re-prefilling elsewhere
    with the tokens already sent and continuing from the cursor.
    """
    dying = FakeSidecar("a", [batch("g-a", 0, ["x", "y"]), ConnectionResetError()])
    taking_over = ResumingSidecar("b", [batch("g-b", 2, ["z", "w"], True)], ["x", "y"])
    sink = ListSink()
    result_of(make_relay(clock, [dying, taking_over]).run(request(clock), LIMITS, sink))
    assert sink.tokens == [(0, "x"), (1, "y"), (2, "z"), (3, "w")]
    assert taking_over.resume_seen == ["x", "y"] and sink.reason == "stop"
