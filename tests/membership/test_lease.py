"""The endpoint lease: takeovers between sidecar sessions under pauses and store faults."""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from treq.testing import StubTreq
from twisted.internet.task import Clock

from guavacleat.membership import EndpointRecord, Lease
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from tests.conftest import examples, result_of


def make_lease(clock, store, session):
    record = EndpointRecord("e1", "svc", "dc", f"address-of-{session}", session=session)
    return Lease(clock, store, record)


def test_paused_sidecar_does_not_reclaim_its_lease(clock, store, store_app, stub_http):
    """Guards against requests that alternate between a replaced sidecar and its replacement.

    A sidecar resumed after its lease was taken over must not overwrite the record.
    """
    paused, replacement = make_lease(clock, store, "old"), make_lease(clock, store, "new")
    for lease in (paused, replacement, paused, paused, replacement, paused):
        result_of(lease.renew(), stub_http.flush)
    assert store_app.state.get("endpoints", "e1").value["session"] == "new"
    assert paused.superseded and not replacement.superseded


def test_a_session_displaced_after_an_unanswered_write_does_not_reclaim_the_lease(
    clock, store, store_app, stub_http
):
    """Guards against a displaced session that overwrites the record of its replacement.

    The session's own write succeeded but its answer was lost; only the record's displaced sessions
    show that it once held the lease.
    """
    first, second = make_lease(clock, store, "first"), make_lease(clock, store, "second")
    store_app.faults.lose_acks = 1
    result_of(first.renew(), stub_http.flush)
    store_app.faults.lose_acks = 0
    for lease in (second, first):
        result_of(lease.renew(), stub_http.flush)
    assert store_app.state.get("endpoints", "e1").value["session"] == "second"


class LeaseMachine(RuleBasedStateMachine):
    """Sessions start, renew and pause (by not being drawn), with lost answers and outages."""

    @initialize()
    def setup(self):
        self.clock = Clock()
        self.store_app = StoreApp(StoreState(self.clock))
        self.http = StubTreq(self.store_app.resource())
        self.numbers = itertools.count()
        self.leases = []
        self.holders = []
        self.session_starts()

    @rule()
    def session_starts(self):
        store = StoreClient("http://store", http=self.http)
        self.leases.append(make_lease(self.clock, store, f"s{next(self.numbers):03}"))

    @rule(data=st.data(), lose_ack=st.booleans(), down=st.booleans())
    def session_renews(self, data, lose_ack, down):
        lease = data.draw(st.sampled_from(self.leases))
        self.store_app.faults.lose_acks = int(lose_ack)
        self.store_app.faults.outage = down
        lease.renew()
        self.http.flush()
        self.store_app.faults.lose_acks = 0
        self.store_app.faults.outage = False
        stored = self.store_app.state.get("endpoints", "e1")
        holder = stored.value["session"] if stored else None
        if holder is not None and self.holders[-1:] != [holder]:
            self.holders.append(holder)

    @invariant()
    def each_session_holds_the_lease_once(self):
        holders = getattr(self, "holders", [])
        assert len(holders) == len(set(holders)), f"a session held the lease twice: {holders}"

    @invariant()
    def some_session_is_not_superseded(self):
        leases = getattr(self, "leases", [])
        assert not leases or not all(lease.superseded for lease in leases)


LeaseMachine.TestCase.settings = settings(max_examples=examples(200), stateful_step_count=30)
test_lease_under_pauses_and_faults = LeaseMachine.TestCase
