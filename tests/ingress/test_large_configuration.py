"""Configurations of thousands of routes on links that need seconds to carry one.

Seen on gateways with links of 5 Mbit/s: with 4,248 routes some never took a version that the store
had confirmed, answered 404 to callers of the routes that it added, and received at the link's full
rate until they were stopped. A watch was given up a fixed time after it was sent, whatever had
arrived, and asked again from the first byte.
"""

import pytest

from guavacleat.ingress import IngressService
from guavacleat.ingress.sources import STORE_CALL_SECONDS, WATCH_SECONDS, StoreSource
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from tests.ingress.slow_link import LinkReactor, seed_waits
from tests.platform.store_standin import StoreStandin
from tests.platform.test_decode import CONFIGURATION
from tests.platform.test_settings import TEXT

ROUTES = 4248
# 5 Mbit/s, the thinnest links that gateways have: 1.5 s for a configuration of this size.
BYTES_PER_SECOND = 625_000
# Within so long a confirmed change must be in force on these deployments.
APPLY_SECONDS = 3.0
SETTLED_SECONDS = 5.0


def configuration(version, routes=ROUTES):
    """A version with ``routes`` routes, each some 215 bytes as in the store."""
    route = CONFIGURATION["routes"][1]
    many = [
        {**route, "name": f"r-{number:06}", "pathPrefix": f"/{number:050}/"}
        for number in range(routes)
    ]
    return {**CONFIGURATION, "version": version, "routes": many}


class Gateway:
    """A gateway's service that follows the store; started at once."""

    def __init__(self, store, seed=0):
        self.reactor = LinkReactor(store, BYTES_PER_SECOND)
        settings, adapter = parse_process_settings(TEXT), PlatformAdapter()
        self.source = StoreSource(self.reactor, settings, adapter)
        path = adapter.readiness_path
        service = IngressService(self.reactor, settings, adapter.wire, self.source, path)
        self.holder = service.holder
        self.exposition = lambda: service._exposition().decode()
        self.source.start(service)
        seed_waits(self.source, seed)

    def version(self):
        return self.holder.table.version if self.holder.table else None

    def seconds_until(self, version, most):
        """Time that passes until ``version`` is in force, None if it is more than ``most``."""
        began = self.reactor.seconds()
        while self.reactor.seconds() - began <= most:
            if self.version() == version:
                return self.reactor.seconds() - began
            self.reactor.run(0.05)
        return None


@pytest.fixture
def store():
    return StoreStandin()


def test_a_large_change_is_in_force_in_time_at_whatever_moment_it_comes(store):
    """
    Symptom: a route that a confirmed version added is answered 404 by single gateways, for good.
    Sequence: a version of 900 KB is written while a watch waits; the watch is given up 0.8 s after
    its wait, with most of the version received; it is asked again with the short wait of a watch
    that failed, 1.1 s in all, for an answer that takes 1.5 s; and so on.
    Cause: a call's time did not depend on whether its answer was arriving.
    """
    store.write("config", "main", configuration(1, routes=48))
    moments = [0.0, 0.4, 0.8, 1.2, 1.6, 2.0]
    late = []
    for seed, moment in enumerate(moments):
        gateway = Gateway(store, seed)
        gateway.reactor.run(SETTLED_SECONDS + moment)
        version = seed + 2
        store.write("config", "main", configuration(version))
        if gateway.seconds_until(version, APPLY_SECONDS) is None:
            late.append(moment)
        store.write("config", "main", configuration(version, routes=48))
    assert late == []


def test_a_large_configuration_reaches_a_gateway_that_starts(store):
    """
    Symptom: a gateway that is started again never gets ready.
    Sequence: it lists the configuration, 900 KB that take 1.5 s; the call is given up after 0.8 s.
    Cause: the same as of the watch that is given up.
    """
    store.write("config", "main", configuration(1))
    assert Gateway(store).seconds_until(1, APPLY_SECONDS) is not None


def test_of_large_versions_in_quick_succession_the_last_is_in_force_in_time(store):
    """
    Symptom: gateways on thin links run behind operators who apply one change after the other.
    Sequence: five versions of 895 KB, 0.3 s apart; the first takes 1.45 s of the link, and the next
    watch brings all four others, one after the other.
    Cause: what a watch brings grows with the number of versions, of which only the last counts.
    """
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLED_SECONDS)
    for version in range(2, 7):
        gateway.reactor.run(0.3)
        store.write("config", "main", configuration(version))
    assert gateway.seconds_until(6, APPLY_SECONDS) is not None


def test_an_answer_that_stops_in_the_middle_is_asked_for_again(store):
    """
    Symptom: a gateway hears of no change any more.
    Sequence: the store falls silent in the middle of an answer, with the connection open.
    Cause: waiting on for an answer that arrives must not be waiting without end.
    """
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLED_SECONDS)
    gateway.reactor.stall_after_bytes = 100_000
    store.write("config", "main", configuration(2, routes=1000))
    gateway.reactor.run(WATCH_SECONDS)
    gateway.reactor.stall_after_bytes = None
    assert gateway.seconds_until(2, STORE_CALL_SECONDS + APPLY_SECONDS) is not None


def test_what_a_call_had_received_is_told(store, monkeypatch):
    """
    Symptom: the log of a gateway that takes no new version has no line on it.
    Sequence: the store falls silent in the middle of each answer, or is silent altogether.
    Cause: failures of watches were not told, and not whether anything had arrived.
    """
    lines = []
    monkeypatch.setattr("guavacleat.store.watch.log_message", lambda **fields: lines.append(fields))
    store.write("config", "main", configuration(1, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLED_SECONDS)
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


def test_the_metrics_tell_the_version_in_force_and_failing_watches(store):
    store.write("config", "main", configuration(3, routes=48))
    gateway = Gateway(store)
    gateway.reactor.run(SETTLED_SECONDS)
    store.fault = "down"
    gateway.reactor.run(SETTLED_SECONDS)
    text = gateway.exposition()
    assert "guavacleat_configuration_version 3" in text
    assert int(text.rpartition('guavacleat_watch_failures{kind="config"} ')[2].split()[0]) > 1
