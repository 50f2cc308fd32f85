"""A hypothesis state machine: calls with idempotency keys while the store is restored from copies.

Rules: clients send calls and retries through any gateway; the store is copied, or restored from a
copy that is seconds old; time passes. Invariant: no call runs twice.
"""

import collections

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from treq.testing import StubTreq
from twisted.internet.task import Clock

from guavacleat.idempotency import CallRecords
from guavacleat.idempotency.records import RECENT_WRITE_SECONDS, RESTORE_SETTLE_SECONDS
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from tests.conftest import examples

GATEWAYS = 3
KEYS = ["k1", "k2"]
# Interval at which a gateway calls the store, through its watches.
WATCH_SECONDS = 1.0
# Claims are remembered for longer than the age of a copy plus the time to settle.
OLDEST_COPY_SECONDS = RECENT_WRITE_SECONDS - 2 * RESTORE_SETTLE_SECONDS


class ClaimsMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.clock = Clock()
        self.app = StoreApp(StoreState(self.clock))
        self.http = StubTreq(self.app.resource())
        self.records = [
            CallRecords(StoreClient("http://store", http=self.http), self.clock)
            for _ in range(GATEWAYS)
        ]
        self.runs_by_key = collections.Counter()
        self.copied_at = 0.0
        self.requests = 0
        self._call_store()

    def _call_store(self):
        for records in self.records:
            records.store.list_objects("calls").addErrback(lambda failure: None)
        self.http.flush()

    @rule(gateway=st.integers(0, GATEWAYS - 1), key=st.sampled_from(KEYS), finishes=st.booleans())
    def client_calls(self, gateway, key, finishes):
        self.requests += 1
        request, records = f"r{self.requests}", self.records[gateway]
        claiming = records.claim(key, request, "body")
        claiming.addCallbacks(lambda _: self._run(records, key, request, finishes), lambda _: None)
        self.http.flush()

    def _run(self, records, key, request, finishes):
        self.runs_by_key[key] += 1
        if finishes:
            records.finish(key, request, ["a"], "stop")

    @rule()
    def store_is_copied(self):
        self.app.state.copy()
        self.copied_at = self.clock.seconds()

    @precondition(lambda self: self.clock.seconds() - self.copied_at <= OLDEST_COPY_SECONDS)
    @rule()
    def store_is_restored(self):
        self.app.state.restore()

    @precondition(lambda self: self.clock.seconds() - self.copied_at <= OLDEST_COPY_SECONDS)
    @rule()
    def store_is_restored_and_gateways_settle(self):
        self.app.state.restore()
        self.time_passes(2 * RESTORE_SETTLE_SECONDS)

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, RESTORE_SETTLE_SECONDS + 1.0]))
    def time_passes(self, seconds):
        for step in range(1, round(seconds / 0.2) + 1):
            self.clock.advance(0.2)
            if step * 0.2 % WATCH_SECONDS < 0.2:
                self._call_store()
            self.http.flush()

    @invariant()
    def no_call_runs_twice(self):
        assert all(runs <= 1 for runs in getattr(self, "runs_by_key", {}).values())


ClaimsMachine.TestCase.settings = settings(max_examples=examples(60), stateful_step_count=30)
test_claims_under_restores = ClaimsMachine.TestCase
