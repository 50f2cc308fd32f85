"""A hypothesis state machine: orders from concurrent issuers to an engine without fencing.

Rules: an issuer obtains a fencing number, an issued order is sent or sent again (possibly much
later), the sidecar restarts, the store answers slowly, is down or loses acknowledgements.
Invariant: the fencing numbers of the orders that the engine applies never decrease.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from treq.testing import StubTreq
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.checks import check_versions
from guavacleat.orders import issue_fencing_number
from guavacleat.protocol.gen.sidecar.ttypes import Order
from guavacleat.sidecar.handler import SidecarHandler
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from tests.conftest import examples


class OrdersMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.clock = Clock()
        self.store_app = StoreApp(StoreState(self.clock))
        self.http = StubTreq(self.store_app.resource())
        self.store = StoreClient("http://store", http=self.http)
        self.issued = []
        self.applied = []
        self.sidecar_restarts()

    def order(self, kind, target, fencing):
        """Apply an order as an engine that ignores fencing numbers."""
        self.applied.append(fencing)
        return defer.succeed(True)

    @rule()
    def sidecar_restarts(self):
        # The old process is gone: its pending calls no longer reach the engine.
        self.handler = SidecarHandler("e1", _Engine(self), self.store, self.clock)

    @rule(fault=st.sampled_from([None, None, None, "outage", "lose_acks"]))
    def issuer_obtains_a_number(self, fault):
        if fault:
            setattr(self.store_app.faults, fault, 1)
        issue_fencing_number(self.store, "e1").addCallbacks(self.issued.append, lambda _: None)
        self.http.flush()
        self.store_app.faults.outage = self.store_app.faults.lose_acks = 0

    @rule(data=st.data(), delay=st.sampled_from([0.0, 0.0, 2.0]), down=st.sampled_from([0, 0, 1]))
    def order_is_sent(self, data, delay, down):
        """Send an order; the store answers the sidecar's check after ``delay``, or is down."""
        if self.issued:
            self.store_app.faults.delay = delay
            self.store_app.faults.outage = down
            number = data.draw(st.sampled_from(self.issued[:-3:-1]))
            self.handler.order(Order("model", f"v{number}", number)).addErrback(lambda _: None)
            self.http.flush()
            self.store_app.faults.delay = self.store_app.faults.outage = 0

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)
        self.http.flush()

    @invariant()
    def applied_fencing_numbers_never_decrease(self):
        assert check_versions(getattr(self, "applied", [])) == []


class _Engine:
    """A sidecar's engine client; it reaches the engine only until the sidecar restarts."""

    def __init__(self, machine):
        self.machine = machine

    def order(self, *args):
        if self.machine.handler.engine is not self:
            return defer.Deferred()
        return self.machine.order(*args)


OrdersMachine.TestCase.settings = settings(max_examples=examples(200), stateful_step_count=30)
test_orders_under_races_and_faults = OrdersMachine.TestCase
