"""A hypothesis state machine: non-repeatable calls through two gateways under faults.

Rules: a client tries a key through either gateway, endpoints refuse or run the call, a gateway
dies with its calls, the store fails, slows down or loses acknowledgements, time passes.
Invariants: :func:`guavacleat.checks.check_calls`; and once the store has recovered, a key whose
attempts were all refused without being run can still be called.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from treq.testing import StubTreq
from twisted.internet.task import Clock

from guavacleat.checks import CallAttempt, check_calls
from guavacleat.errors import NotRunError
from guavacleat.idempotency import AlreadyAcceptedError, CallGuard, CallRecords
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from tests.conftest import examples, make_request

KEYS = ("connect-1", "connect-2")
# Steps of 2 s after the last fault, in which pending updates are retried.
RECOVERY_STEPS = 4


class CallsMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.clock = Clock()
        self.store_app = StoreApp(StoreState(self.clock))
        self.http = StubTreq(self.store_app.resource())
        self.records = [self._gateway(), self._gateway()]
        self.incarnations = [0, 0]
        self.attempts = []
        # Keys whose callers were told to use a new key.
        self.given_up_keys = set()

    def _gateway(self):
        return CallRecords(StoreClient("http://store", http=self.http), self.clock)

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.http.flush()

    @rule(key=st.sampled_from(KEYS), gateway=st.sampled_from([0, 1]), refuse=st.booleans())
    def client_calls(self, key, gateway, refuse):
        attempt = CallAttempt(key)
        self.attempts.append(attempt)
        request_id = f"request-{len(self.attempts)}"
        incarnation = self.incarnations[gateway]
        records = self.records[gateway]
        completion = make_request()
        completion.call_record_name, completion.request_id = key, request_id
        guard = CallGuard(records, completion)
        claiming = guard.claim()

        def released(recorded):
            if self.incarnations[gateway] != incarnation:
                return
            attempt.outcome = "not_run"
            if not recorded:
                self.given_up_keys.add(key)

        def claimed(_):
            if self.incarnations[gateway] != incarnation:
                return
            if refuse:
                guard.release().addCallback(released)
                return
            attempt.ran = True
            attempt.outcome = "answered"
            attempt.answer_key = key
            records.finish(key, request_id, [key], "stop")

        def refused(failure):
            failure.trap(AlreadyAcceptedError, NotRunError)
            if failure.check(NotRunError):
                attempt.outcome = "not_run"
                return
            attempt.outcome = "accepted"
            if failure.value.answer is not None:
                attempt.answer_key = failure.value.answer[0][0]

        claiming.addCallback(claimed).addErrback(refused)
        self.http.flush()

    @rule(gateway=st.sampled_from([0, 1]))
    def gateway_dies(self, gateway):
        self.incarnations[gateway] += 1
        self.records[gateway].store.http = _FailingHttp()
        self.records[gateway] = self._gateway()

    @rule(down=st.booleans())
    def store_outage(self, down):
        self.store_app.faults.outage = down

    @rule(delay=st.sampled_from([0.0, 0.5]))
    def store_slows(self, delay):
        self.store_app.faults.delay = delay

    @rule()
    def next_ack_lost(self):
        self.store_app.faults.lose_acks = 1

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def time_passes(self, seconds):
        self.pass_time(seconds)

    @invariant()
    def calls_run_at_most_once(self):
        assert check_calls(getattr(self, "attempts", [])) == []

    def teardown(self):
        self.store_app.faults.outage = False
        self.store_app.faults.lose_acks = 0
        self.store_app.faults.delay = 0.0
        for _ in range(RECOVERY_STEPS):
            self.pass_time(2.0)
        refused_only = [
            key
            for key in KEYS
            if key not in self.given_up_keys
            and all(attempt.outcome == "not_run" for attempt in self.attempts if attempt.key == key)
        ]
        for key in refused_only:
            claiming = self.records[0].claim(key, f"last-{key}")
            outcome = []
            claiming.addBoth(outcome.append)
            self.http.flush()
            assert outcome == [None], f"{key} was never run, yet it cannot be claimed: {outcome}"


class _FailingHttp:
    """A dead gateway's connection to the store: every call fails."""

    def request(self, *args, **kwargs):
        raise ConnectionError("this gateway is dead")


CallsMachine.TestCase.settings = settings(max_examples=examples(200), stateful_step_count=30)
test_calls_under_faults = CallsMachine.TestCase
