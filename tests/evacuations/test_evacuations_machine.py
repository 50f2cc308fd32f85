"""A hypothesis state machine: evacuations while the store and the network between gateways fail.

Rules: the data centre is evacuated and restored, also twice in a row; gateways lose the store or
their peers, start again; the store forgets its history or is restored from a copy. Invariants: a
gateway that reaches the store uses no endpoint of the data centre later than ``BOUND_SECONDS``
after its evacuation, nor before its end; once changes have settled, every gateway uses exactly what
may be used.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from guavacleat.evacuations.register import REWRITE_SECONDS
from tests.conftest import examples
from tests.evacuations.test_fleet import usable_ids
from tests.peers.fleet import ENDPOINTS, EVACUATIONS
from tests.restore.fleet import RestoredFleet

BOUND_SECONDS = 5.0
SETTLE_SECONDS = BOUND_SECONDS + REWRITE_SECONDS
GATEWAYS = [f"g{dc}-{n}" for dc in range(2) for n in range(2)]
IDS = {"e1", "e2"}


class EvacuationMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.fleet = RestoredFleet(2, 2, endpoints=sorted(IDS))
        self.fleet.pass_time(2.0)
        self.fleet.store.copy()
        self.evacuated = False
        self.evacuated_at = self.fleet.clock.seconds()
        # Times from which each gateway has reached the store without interruption.
        self.connected_at = dict.fromkeys(GATEWAYS, self.fleet.clock.seconds())

    @rule(count=st.integers(1, 2))
    def operators_evacuate(self, count):
        for _ in range(count):
            if self.evacuated:
                self.fleet.store.write(EVACUATIONS, "dc", None, deleted=True)
            self.fleet.store.write(EVACUATIONS, "dc", {})
            self.evacuated, self.evacuated_at = True, self.fleet.clock.seconds()

    @rule()
    def operators_end_evacuation(self):
        if self.evacuated:
            self.fleet.store.write(EVACUATIONS, "dc", None, deleted=True)
            self.evacuated = False

    @rule(name=st.sampled_from(GATEWAYS), state=st.sampled_from(["open", "refused"]))
    def store_connection_changes(self, name, state):
        self.fleet.gateways[name].link.store_connection.state = state
        self.connected_at[name] = self.fleet.clock.seconds() if state == "open" else float("inf")

    @rule(sender=st.sampled_from(GATEWAYS), receiver=st.sampled_from(GATEWAYS))
    def link_is_cut_one_way(self, sender, receiver):
        self.fleet.blocked_links.add((sender, receiver))

    @rule()
    def links_heal(self):
        self.fleet.blocked_links.clear()

    @rule(name=st.sampled_from(GATEWAYS))
    def gateway_starts_again(self, name):
        old = self.fleet.gateways[name]
        old.stop()
        state = old.link.store_connection.state
        self.fleet.add(name, old.data_centre, old.ip)
        self.fleet.gateways[name].link.store_connection.state = state
        if state == "open":
            self.connected_at[name] = self.fleet.clock.seconds()

    @rule()
    def store_forgets_its_history(self):
        self.fleet.store.compact_history()

    @rule()
    def store_is_copied(self):
        self.fleet.store.copy()

    @rule()
    def store_is_restored(self):
        """The operators write again what they wrote since the copy, a moment later."""
        self.fleet.restore()
        self.fleet.pass_time(0.5)
        stored = (EVACUATIONS, "dc") in self.fleet.store.objects
        if stored and not self.evacuated:
            self.fleet.store.write(EVACUATIONS, "dc", None, deleted=True)
        elif self.evacuated and not stored:
            self.fleet.store.write(EVACUATIONS, "dc", {})
        for id in IDS:
            self.fleet.store.write(ENDPOINTS, id, "ready")

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def time_passes(self, seconds):
        self.fleet.pass_time(seconds)

    @rule()
    def system_settles(self):
        for name in GATEWAYS:
            self.store_connection_changes(name, "open")
        self.fleet.blocked_links.clear()
        self.fleet.pass_time(SETTLE_SECONDS)
        expected = set() if self.evacuated else IDS
        found = {name: usable_ids(gateway) for name, gateway in self.fleet.gateways.items()}
        assert found == dict.fromkeys(GATEWAYS, expected)

    @invariant()
    def no_requests_into_an_evacuated_data_centre(self):
        if not getattr(self, "evacuated", False):
            return
        now = self.fleet.clock.seconds()
        for name, gateway in self.fleet.gateways.items():
            if now > max(self.evacuated_at, self.connected_at[name]) + BOUND_SECONDS:
                assert usable_ids(gateway) == set()

    def teardown(self):
        random.seed()


EvacuationMachine.TestCase.settings = settings(max_examples=examples(30), stateful_step_count=20)
test_evacuations_under_failures = EvacuationMachine.TestCase
