"""Gateways of the completions interface share what crashes engines through the store."""

import pytest
from treq.testing import StubTreq

from guavacleat.gateway import GatewayService
from guavacleat.quarantine.trial_order import TRIAL_SPREAD_SECONDS
from guavacleat.standin.store import StoreApp, StoreState
from guavacleat.store import StoreClient
from tests.network import Network
from tests.streams.test_relay_quarantine import completion, words

BAD = words("bad")


@pytest.fixture
def system(monkeypatch):
    return System(monkeypatch)


class System:
    """Two gateways and their store on one clock."""

    def __init__(self, monkeypatch):
        self.network = Network()
        self.http = StubTreq(StoreApp(StoreState(self.network)).resource())
        monkeypatch.setattr(
            "guavacleat.gateway.service.StoreClient",
            lambda url: StoreClient(url, http=self.http),
        )
        self.gateways = [self._start(number) for number in range(2)]
        self.pass_time(1.0)

    def _start(self, number):
        gateway = GatewayService(self.network, (f"10.0.0.{number + 1}", 0), "http://store")
        gateway.startService()
        return gateway

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.network.advance(0.05)
            self.http.flush()

    def crash(self, gateway, number):
        """Crash an engine under a prompt with the bad section, unlike any other."""
        request = completion(self.network, f"{BAD} own{number}")
        tracker = gateway.relay.crash_tracker
        tracker.confirm(
            tracker.request_interrupted(f"e{number}", request.content_key, parts=request.part_keys)
        )

    def is_quarantined(self, gateway):
        request = completion(self.network, f"{BAD} other")
        return gateway.relay.quarantine.status(request).quarantined


def test_a_gateway_refuses_what_crashed_engines_under_another(system):
    """Guards against three more crashes, and more trials, at each gateway."""
    first, second = system.gateways
    for number in range(3):
        system.crash(first, number)
        system.pass_time(0.1)
    system.pass_time(1.0)
    assert system.is_quarantined(second)
    parts = completion(system.network, BAD).part_keys
    for part in parts:
        second.relay.crash_tracker.part_proven(part, system.network.seconds())
    system.pass_time(1.0)
    assert not system.is_quarantined(first)


def test_gateways_that_do_not_know_each_other_try_at_different_times(system):
    delays = {gateway.relay.crash_tracker.trial_delay(7) for gateway in system.gateways}
    assert len(delays) == 2
    assert all(0 <= delay <= TRIAL_SPREAD_SECONDS for delay in delays)
