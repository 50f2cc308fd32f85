"""Large configurations on slow links.

A watch must not be aborted and repeated from the first byte while its response is still arriving:
the gateway would never get the new version.
"""

import pytest

from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import STORE_CALL_TIMEOUT_SECONDS, WATCH_SECONDS, StoreSource
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from tests.ingress.slow_link import LinkReactor, seed_watch_delays
from tests.platform.store_standin import StoreStandin
from tests.platform.test_decode import CONFIGURATION
from tests.platform.test_settings import SETTINGS_TEXT

ROUTES = 4248
# 5 Mbit/s: about 1.5 s for a configuration of this size.
BYTES_PER_SECOND = 625_000
# Deadline for a confirmed change to be in force.
APPLY_SECONDS = 3.0
SETTLE_SECONDS = 5.0


def configuration(version, routes=ROUTES):
    """A configuration with ``routes`` routes of about 215 bytes each."""
    route = CONFIGURATION["routes"][1]
    many = [
        {**route, "name": f"r-{number:06}", "pathPrefix": f"/{number:050}/"}
        for number in range(routes)
    ]
    return {**CONFIGURATION, "version": version, "routes": many}


class Gateway:
    """An ingress with a :class:`StoreSource` over a slow link; started at once."""

    def __init__(self, store, seed=0):
        self.reactor = LinkReactor(store, BYTES_PER_SECOND)
        settings, adapter = parse_process_settings(SETTINGS_TEXT), PlatformAdapter()
        self.source = StoreSource(self.reactor, settings, adapter)
        path = adapter.readiness_path
        service = IngressService(self.reactor, settings, adapter.wire, self.source, path)
        self.holder = service.holder
        self.exposition = lambda: service._exposition().decode()
        self.source.start(service)
        seed_watch_delays(self.source, seed)

    def version(self):
        return self.holder.table.version if self.holder.table else None

    def seconds_until(self, version, timeout):
        """Seconds until ``version`` is in force; None if more than ``timeout``."""
        began = self.reactor.seconds()
        while self.reactor.seconds() - began <= timeout:
            if self.version() == version:
                return self.reactor.seconds() - began
            self.reactor.run(0.05)
        return None


@pytest.fixture
def store():
    return StoreStandin()


def test_large_change_is_in_force_in_time_at_any_phase_of_the_watch(store):
    """A watch must not time out while its response is still arriving."""
    store.write("config", "main", configuration(1, routes=48))
    offsets = [0.0, 0.4, 0.8, 1.2, 1.6, 2.0]
    late = []
    for seed, offset in enumerate(offsets):
        gateway = Gateway(store, seed)
        gateway.reactor.run(SETTLE_SECONDS + offset)
        version = seed + 2
        store.write("config", "main", configuration(version))
        if gateway.seconds_until(version, APPLY_SECONDS) is None:
            late.append(offset)
        store.write("config", "main", configuration(version, routes=48))
    assert late == []


def test_starting_gateway_receives_a_large_configuration(store):
    """A listing must not time out while its response is still arriving."""
    store.write("config", "main", configuration(1))
    assert Gateway(store).seconds_until(1, APPLY_SECONDS) is not None


def test_last_of_several_large_versions_is_in_force_in_time(store):
    """A watch must not transfer every intermediate version over a slow link."""
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLE_SECONDS)
    for version in range(2, 7):
        gateway.reactor.run(0.3)
        store.write("config", "main", configuration(version))
    assert gateway.seconds_until(6, APPLY_SECONDS) is not None


def test_stalled_response_is_requested_again(store):
    """A call must time out when its response stalls on an open connection."""
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLE_SECONDS)
    gateway.reactor.stall_after_bytes = 100_000
    store.write("config", "main", configuration(2, routes=1000))
    gateway.reactor.run(WATCH_SECONDS)
    gateway.reactor.stall_after_bytes = None
    assert gateway.seconds_until(2, STORE_CALL_TIMEOUT_SECONDS + APPLY_SECONDS) is not None


def test_failed_watch_is_logged_with_the_bytes_received(store, monkeypatch):
    """Repeated watch failures must show in the log, with how much of each response arrived."""
    lines = []
    monkeypatch.setattr("guavacleat.store.watch.log_message", lambda **fields: lines.append(fields))
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLE_SECONDS)
    gateway.reactor.stall_after_bytes = 100_000
    store.write("config", "main", configuration(2))
    gateway.reactor.run(30.0)
    failed = [line for line in lines if line["message_type"] == "watch:failed"]
    assert [line["failures"] for line in failed[:4]] == [1, 2, 4, 8]
    assert {line["kind"] for line in failed} == {"config"}
    received = [int(line["error"].split(" bytes")[0].split()[-1]) for line in failed]
    assert all(90_000 < number <= 100_000 for number in received)
    assert gateway.source.failures_by_kind()["config"] >= 8
    assert gateway.source.failures_by_kind()["servers"] == 0


def test_metrics_show_the_version_in_force_and_failing_watches(store):
    store.write("config", "main", configuration(3, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLE_SECONDS)
    store.fault = "down"
    gateway.reactor.run(SETTLE_SECONDS)
    text = gateway.exposition()
    assert "guavacleat_configuration_version 3" in text
    assert int(text.rpartition('guavacleat_watch_failures{kind="config"} ')[2].split()[0]) > 1
