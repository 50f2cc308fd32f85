"""A gateway that gets nearly all new requests while the balancer hands it most connections."""

import collections
import random

import pytest

from tests.quarantine.crashing_fleet import CrashingFleet

ENGINE = {"engine": {"slots": 6, "memory_tokens": 100000}}
CROWDED_SHARE = 0.95
# While a gateway is crowded, requests are served at least this often, compared to before.
MIN_SERVED = 0.75
STABILITY_SECONDS = 3.0


class Callers:
    """Callers that send ``rate`` requests a second, ``share`` of them to one gateway."""

    def __init__(self, fleet, path):
        self.fleet, self.path = fleet, path
        self.random = random.Random(7)
        self.share = 0.0
        self.numbers = iter(range(10**6))
        self.outcomes = collections.Counter()

    def _send(self):
        crowded = self.random.random() < self.share
        gateway = "g0" if crowded else self.random.choice(sorted(self.fleet.gateways))
        number = next(self.numbers)
        parts = ("common", f"own{number}")
        self.fleet.send_generation(f"{self.path}{number}", parts, self.outcomes, gateway)

    def served_share(self, rate, seconds):
        self.outcomes.clear()
        until = self.fleet.network.seconds() + seconds
        self.fleet._schedule_repeatedly(1 / rate, until, self._send)
        self.fleet.network.pass_time(seconds + 2.0)
        return self.outcomes[200] / self.outcomes.total()


# (path, service, requests a second, limit that each endpoint names in its answers, gateways)
CASES = [
    pytest.param("/listing/", ENGINE, 50.0, None, 4, id="engine-stream"),
    pytest.param("/listing/", None, 50.0, None, 4, id="stream"),
    pytest.param("/page/", None, 150.0, None, 4, id="idempotent"),
    pytest.param("/record/", None, 150.0, None, 4, id="non-idempotent"),
    pytest.param("/page/", None, 50.0, 12.0, 4, id="limited"),
    pytest.param("/page/", None, 14.0, 3.0, 12, id="limited-12-gateways"),
    pytest.param("/page/", None, 28.0, 6.0, 24, id="limited-24-gateways"),
]


@pytest.mark.parametrize("path,service,rate,limit,gateways", CASES)
def test_a_crowded_gateway_serves_nearly_as_often_as_all_did(path, service, rate, limit, gateways):
    """Guards against limits per gateway that refuse what the fleet could serve."""
    fleet = CrashingFleet(
        gateways=gateways, data_centres=2, work_seconds=0.05, event_seconds=0.05, service=service
    )
    for endpoint in fleet.endpoints:
        endpoint.standin.rate_limit = limit
    callers = Callers(fleet, path)
    before = callers.served_share(rate, 10.0)
    callers.share = CROWDED_SHARE
    callers.served_share(rate, STABILITY_SECONDS)
    assert callers.served_share(rate, 10.0) >= MIN_SERVED * before
