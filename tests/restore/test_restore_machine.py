"""A hypothesis state machine: what gateways believe while their store comes back from copies.

Rules: configurations and endpoints change; the store keeps a copy or comes back from it; gateways
are deaf to the store for a while. Invariants: no configuration goes back; once the last change is
over for a while, every gateway knows exactly the endpoints that live and take work.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from guavacleat.membership.registry import REREGISTRATION_SECONDS
from tests.conftest import examples
from tests.peers.test_sync_machine import BOUND_SECONDS
from tests.restore.fleet import RestoredFleet

ENDPOINTS = ["e1", "e2", "e3"]
GATEWAYS = [f"g{dc}-{n}" for dc in range(2) for n in range(2)]


class RestoreMachine(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.fleet = RestoredFleet(2, 2, endpoints=ENDPOINTS)
        self.version = 1
        self.versions_by_gateway = {}
        self.lives = 0
        self.fleet.pass_time(2.0)
        self.fleet.store.copy()

    @rule()
    def operator_applies(self):
        self.version += 1
        self.fleet.configure(self.version)

    @rule(id=st.sampled_from(ENDPOINTS), state=st.sampled_from(["ready", "draining"]))
    def endpoint_writes(self, id, state):
        if id in self.fleet.states_by_id:
            self.fleet.set_endpoint(id, state)

    @rule(id=st.sampled_from(ENDPOINTS))
    def endpoint_is_replaced(self, id):
        """Each start has an id of its own."""
        self.lives += 1
        if id in self.fleet.states_by_id:
            self.fleet.remove_endpoint(id)
        self.fleet.set_endpoint(f"{id}.{self.lives}", "ready")

    @rule()
    def store_keeps_a_copy(self):
        self.fleet.store.copy()

    @rule()
    def store_comes_back_from_its_copy(self):
        self.fleet.restore()

    @rule(name=st.sampled_from(GATEWAYS), state=st.sampled_from(["open", "refused"]))
    def store_serves(self, name, state):
        self.fleet.gateways[name].link.state_of_way.state = state

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def time_passes(self, seconds):
        self.fleet.pass_time(seconds)

    @rule()
    def all_is_calm(self):
        """The store serves all, dead entries lapse, and the operator has written again."""
        for gateway in self.fleet.gateways.values():
            gateway.link.state_of_way.state = "open"
        self.fleet.configure(self.version)
        self.fleet.pass_time(1.0)
        self.fleet.lapse_dead()
        self.fleet.pass_time(BOUND_SECONDS + REREGISTRATION_SECONDS)
        live = {id for id, state in self.fleet.states_by_id.items() if state == "ready"}
        beliefs = {name: gateway.ready_ids() for name, gateway in self.fleet.gateways.items()}
        assert beliefs == dict.fromkeys(beliefs, live)
        versions = {gateway.holder.version for gateway in self.fleet.gateways.values()}
        assert versions == {self.version}

    @invariant()
    def no_configuration_goes_back(self):
        if not hasattr(self, "fleet"):
            return
        for name, gateway in self.fleet.gateways.items():
            version = gateway.holder.version or 0
            assert version >= self.versions_by_gateway.get(name, 0)
            self.versions_by_gateway[name] = version


RestoreMachine.TestCase.settings = settings(max_examples=examples(30), stateful_step_count=20)
test_gateways_under_restores = RestoreMachine.TestCase
