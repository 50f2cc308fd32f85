"""Gateways keep to what endpoints say of themselves, while both restart and links are cut."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.conftest import examples
from tests.throttling.statement_fleet import REQUESTS_PER_PAUSE, StatementFleet

ENDPOINTS = 3
GATEWAYS = 4
positions = st.integers(0, ENDPOINTS - 1)
gateways = st.integers(0, GATEWAYS - 1).map("g{}".format)


class StatementsMachine(RuleBasedStateMachine):
    """The rules apply to a gateway from the first answer that told it; a restart excuses it."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = StatementFleet(ENDPOINTS, GATEWAYS, data_centres=2, seed=seed)
        self.addresses = {
            name: gateway.settings.ip for name, gateway in self.fleet.gateways.items()
        }
        self.fleet.send(1.0)

    @rule(position=positions, rate=st.sampled_from([0.0, 0.5, 1.0, 3.0, 10.0]))
    def name_limit(self, position, rate):
        self.fleet.logs[position].name_limit(rate)

    @rule(position=positions)
    def end_limit(self, position):
        self.fleet.logs[position].end_limit()

    @rule(position=positions, seconds=st.sampled_from([0.5, 1.5, 3.0, 6.0]))
    def turn_away(self, position, seconds):
        self.fleet.logs[position].turn_away(seconds)

    @rule(position=positions)
    def serve(self, position):
        self.fleet.logs[position].serve()

    @rule(position=positions)
    def leave(self, position):
        self.fleet.logs[position].standin.leaving = True
        self.fleet.send(0.5)

    @rule(position=positions)
    def write_heartbeat(self, position):
        endpoint = self.fleet.endpoints[position]
        self.fleet.store.write("endpoints", endpoint.id, f"{endpoint.ip} 0.0")
        self.fleet.send(2.5)

    @rule(position=positions)
    def restart_endpoint(self, position):
        self.fleet.logs[position].restart()
        self.fleet.send(2.0)

    @rule(name=gateways)
    def restart_gateway(self, name):
        data_centre = self.fleet.gateways[name].settings.data_centre
        self.fleet.kill_gateway(name)
        for log in self.fleet.logs:
            log.forget_gateway(name)
        self.fleet.start_gateway(name, self.addresses[name], data_centre)
        self.fleet.network.pass_time(1.0)

    @rule(name=gateways)
    def cut_off(self, name):
        """Cut a gateway off from its peers and the store."""
        address = self.addresses[name]
        others = set(self.addresses.values()) - {address}
        self.fleet.network.blocked_links |= {(address, other) for other in others}
        self.fleet.network.blocked_links |= {(other, address) for other in others}
        self.fleet.store_links[name].set_state("silent")

    @rule()
    def heal(self):
        self.fleet.network.blocked_links.clear()
        self.fleet.set_store_state("open")

    @rule(seconds=st.sampled_from([0.5, 2.0, 4.0]), per_second=st.sampled_from([10.0, 60.0]))
    def send(self, seconds, per_second):
        self.fleet.send(seconds, per_second)

    @invariant()
    def what_endpoints_said_is_kept(self):
        for log in self.fleet.logs:
            assert not log.exceeded_limits()
            assert not log.late_arrivals
            assert log.most_in_pause() <= REQUESTS_PER_PAUSE


TestStatements = StatementsMachine.TestCase
TestStatements.settings = settings(max_examples=examples(25), stateful_step_count=30)
