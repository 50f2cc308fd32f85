"""Hypothesis state machine that drives the relay through random faults.

Rules make tokens available, reset the current connection, stall a pull past its timeout, and add
endpoints. Invariants: :func:`guavacleat.checks.check_stream` on the tokens the caller received,
and a stream fails only after every endpoint has been tried.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet import defer
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.checks import check_stream
from guavacleat.config.model import Limits
from guavacleat.membership import MembershipView
from guavacleat.membership.lease import HEARTBEAT_SECONDS
from guavacleat.metrics import StreamMetrics
from guavacleat.protocol.gen.sidecar.ttypes import StartReply, TokenBatch
from guavacleat.routing import get_router_by_name
from guavacleat.streams import CompletionRequest, Relay
from guavacleat.streams.endpoint_stream import PULL_TIMEOUT_MARGIN_SECONDS, PULL_WAIT_MS
from guavacleat.streams.relay import MAX_RESUMES
from tests.conftest import examples

LIMITS = Limits(queue_per_account=4, in_flight_per_endpoint=4, retry_after=1.0)
LENGTH = 12


class Endpoint:
    """A fake sidecar whose pulls stay pending until a rule answers, fails or stalls them."""

    def __init__(self, machine, name):
        self.machine = machine
        self.name = name
        self.pending = None

    def start(self, request):
        attempt = f"{self.name}#{len(self.machine.resumes_by_attempt)}"
        resume = list(request.resume_tokens or [])
        self.machine.resumes_by_attempt[attempt] = resume
        self.machine.produced_by_attempt[attempt] = resume + [
            f"{attempt}:{i}" for i in range(len(resume), LENGTH)
        ]
        self.machine.current = (self, attempt, len(resume))
        return defer.succeed(StartReply(stream_id=attempt, generation=attempt))

    def pull(self, stream_id, cursor, wait_ms):
        self.pending = (defer.Deferred(), stream_id, cursor)
        return self.pending[0]

    def cancel(self, stream_id):
        return defer.succeed(None)

    def load(self):
        """Succeed: the endpoint is alive even if its connection fails."""
        return defer.succeed(None)


class RelayMachine(RuleBasedStateMachine):
    disconnected = False

    @initialize()
    def setup(self):
        self.clock = Clock()
        self.view = MembershipView(self.clock)
        self.endpoints_by_name = {}
        self.produced_by_attempt = {}
        self.resumes_by_attempt = {}
        self.received = []
        self.current = None
        self.outcome = []
        for name in ("a", "b"):
            self._join(name)
        pool = _Pool(self.endpoints_by_name)
        dispatcher = Dispatcher(self.clock, self.view, get_router_by_name("cache-load", self.clock))
        relay = Relay(self.clock, self.view, dispatcher, pool, StreamMetrics())
        request = CompletionRequest("r", "svc", "acc", "standard", 5, "p", LENGTH, None, 0.0)
        relay.run(request, LIMITS, self).addBoth(self._finished)

    def _finished(self, result):
        self.outcome.append(result)
        self.endpoints_at_end = len(self.endpoints_by_name)

    def _join(self, name):
        self.endpoints_by_name[name] = Endpoint(self, name)
        self.view.observe(_record(name))

    def token(self, index, text):
        self.received.append((index, text, self.current[1]))

    def end(self, reason):
        pass

    def set_handle(self, handle):
        pass

    def _pending(self):
        if self.outcome or self.current is None:
            return None
        return self.current[0].pending

    @rule(count=st.integers(min_value=1, max_value=4))
    def tokens_ready(self, count):
        pending = self._pending()
        if pending is None or pending[0].called:
            return
        waiter, attempt, cursor = pending
        produced = self.produced_by_attempt[attempt]
        tokens = produced[cursor : cursor + count]
        done = cursor + len(tokens) >= LENGTH
        waiter.callback(TokenBatch(attempt, cursor, tokens, done, "stop" if done else "", 0))

    @rule()
    def link_resets(self):
        pending = self._pending()
        if pending is not None and not pending[0].called:
            pending[0].errback(ConnectionResetError())

    @rule()
    def pull_stalls(self):
        """The pending pull times out; heartbeats continue every HEARTBEAT_SECONDS."""
        if self._pending() is None:
            return
        stall = PULL_WAIT_MS / 1000 + PULL_TIMEOUT_MARGIN_SECONDS + 0.01
        for _ in range(int(stall // HEARTBEAT_SECONDS)):
            self.clock.advance(HEARTBEAT_SECONDS)
            self._heartbeat()
        self.clock.advance(stall % HEARTBEAT_SECONDS)

    def _heartbeat(self):
        for name in self.endpoints_by_name:
            self.view.observe(_record(name))

    @rule(name=st.sampled_from(["c", "d", "e"]))
    def endpoint_joins(self, name):
        if name not in self.endpoints_by_name:
            self._join(name)

    @invariant()
    def history_holds(self):
        if not hasattr(self, "received"):
            return
        found = check_stream(self.received, self.produced_by_attempt, self.resumes_by_attempt)
        assert found == [], found
        if not self.outcome:
            return
        if isinstance(self.outcome[0], Failure):
            # A stream may fail only after every endpoint was tried or MAX_RESUMES was reached.
            attempts = len(self.resumes_by_attempt)
            assert attempts >= min(self.endpoints_at_end, MAX_RESUMES + 1), (attempts, found)
        else:
            assert len(self.received) == LENGTH


def _record(name):
    return {
        "name": name,
        "service": "svc",
        "data_centre": "dc",
        "address": name,
        "draining": False,
        "beat": 1,
    }


class _Pool:
    def __init__(self, endpoints_by_name):
        self.endpoints_by_name = endpoints_by_name

    def client(self, address):
        return defer.succeed(self.endpoints_by_name[address])

    def discard(self, address):
        pass


RelayMachine.TestCase.settings = settings(max_examples=examples(150), stateful_step_count=30)
test_relay_under_random_faults = RelayMachine.TestCase
