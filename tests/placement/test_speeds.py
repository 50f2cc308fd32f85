"""Tests of engine speeds: measurement, uneven services and the choices in them."""

import collections
import random
import statistics

import pytest
from twisted.internet import defer

from guavacleat.forwarding.session import StreamSession
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport, decode_report, encode_report
from guavacleat.placement import EndpointLoad, Run
from guavacleat.placement.engine_choice import GenerationDemand
from guavacleat.placement.speeds import HALF_LIFE_SECONDS, REFRESH_SECONDS, ServiceSpeeds
from guavacleat.placement.token_times import RESTART_HOLD_SECONDS, WINDOW_SECONDS
from guavacleat.routes import RequestKind
from tests.forwarding.harness import ENGINE, ForwardingHarness, encode_event

NAMES = [f"e{number}" for number in range(22)]
# Seconds per token, evenly from 1 to 2.4 times those of the fastest, e0.
SECONDS_BY_ENGINE = {name: 0.008 * (1 + 1.4 * n / 21) for n, name in enumerate(NAMES)}


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, NAMES)


@pytest.fixture
def speeds(harness):
    return harness.context.placement.engine_speeds


def measure(harness, seconds_by_engine, tokens=200):
    for name, seconds in seconds_by_engine.items():
        entry = harness.registry.entries_by_id[name]
        for _ in range(tokens // 4):
            harness.load.token_times.record(entry, 4, 4 * seconds)
    harness.clock.advance(REFRESH_SECONDS)


def choose(harness, output_tokens):
    request, _ = harness.request(kind=RequestKind.STREAM, max_output_tokens=output_tokens)
    return harness.context.placement.choose_for_generation(request, set())


def test_gateways_with_the_same_loads_do_not_all_choose_the_fastest(harness):
    """24 gateways that place long generations at once would overfill the fastest engine."""
    measure(harness, SECONDS_BY_ENGINE)
    chosen = collections.Counter(choose(harness, 750).id for _ in range(240))
    assert max(chosen.values()) < 0.35 * 240
    mean = sum(SECONDS_BY_ENGINE[id] * count for id, count in chosen.items()) / 240
    assert mean < 0.8 * statistics.median(SECONDS_BY_ENGINE.values())


def test_fast_engines_get_more_but_slow_ones_get_some_before_they_are_full(harness):
    """A speed difference of 2.4 must not fill the fast engines while slow ones are idle."""
    measure(harness, {name: 0.008 if n < 11 else 0.0192 for n, name in enumerate(NAMES)})
    for number in range(150):
        id = choose(harness, 750).id
        harness.load.begin(id, Run(f"r{number}", peak_tokens=1750))
    runs = [harness.load.local(name).runs for name in NAMES]
    assert sum(runs[:11]) > 1.5 * sum(runs[11:])
    assert min(runs) > 0 and max(runs) * 1750 < 0.92 * ENGINE.memory_tokens


def test_pending_prompts_are_bounded_by_time_and_residence_by_cost(harness, speeds):
    """A slow engine prefills 2,000 tokens longer; short outputs must not queue on fast engines."""
    measure(harness, SECONDS_BY_ENGINE)
    chooser = harness.context.placement.engine_chooser
    fastest, slowest = (harness.registry.entries_by_id[id] for id in (NAMES[0], NAMES[-1]))
    demand, load = GenerationDemand(ENGINE, 1000, 900), EndpointLoad(2, 4000, 2000)
    assert not chooser.has_room(slowest, demand, load)
    assert chooser.has_room(fastest, demand, EndpointLoad(2, 4000, 3300))
    assert 0 < speeds.residence_cost(slowest, 15) < 0.02
    assert speeds.residence_cost(slowest, 750) == pytest.approx(0.3)


def test_even_service_is_served_as_before(clock):
    """Small differences, and a peer's sums beyond what an engine's slots allow, change nothing."""
    chosen = []
    lie = {"e0": EndpointLoad(timed_tokens=10**6, timed_micros=10**12)}
    for seconds in ({}, {name: 0.008 + 0.0001 * n for n, name in enumerate(NAMES)}):
        harness = ForwardingHarness(clock, NAMES)
        harness.load.peers = PeerTable(clock)
        harness.load.peers.observe(GatewayReport("g2", 1, 1, lie if seconds else {}))
        measure(harness, seconds)
        chosen.append([choose(harness, 750).id for _ in range(50)])
    assert chosen[0] == chosen[1]


def test_noisy_measurements_of_equal_engines_stay_even():
    """Chance differences of few tokens must not change the placement of equal engines."""
    rng, service = random.Random(1), ServiceSpeeds()
    for refresh in range(200):
        noisy = {id: statistics.fmean(rng.choices([0.008, 0.016], k=16)) for id in NAMES[:8]}
        service.refresh(refresh * REFRESH_SECONDS, noisy)
        assert not service.uneven


def test_uneven_service_becomes_even_only_below_the_lower_ratio(harness, speeds, logged):
    """A ratio near the threshold must not switch the placement rules back and forth."""
    service = ServiceSpeeds()
    for slow, uneven in [(1.95, False), (2.05, True), (1.7, True), (1.55, False), (1.95, False)]:
        service.refresh(0.0, {"a": 0.01, "b": 0.01 * slow})
        assert service.uneven is uneven
    measure(harness, SECONDS_BY_ENGINE)
    choose(harness, 750)
    harness.clock.advance(WINDOW_SECONDS + 10 * HALF_LIFE_SECONDS)
    choose(harness, 750)
    types = [message["message_type"] for message in logged if "ratio" in message]
    assert types == ["engines:uneven", "engines:even"]


def test_restarted_engine_has_no_speed_until_it_is_measured_again(harness, speeds, clock):
    """The speed of the earlier process, which peers report a while longer, must not count."""
    measure(harness, SECONDS_BY_ENGINE)
    choose(harness, 750)
    metrics = IngressMetrics()
    metrics.update_speeds(speeds.relative_speeds())
    assert b'guavacleat_engine_relative_speed{endpoint="e0"} 1.7' in metrics.exposition()
    harness.load.peers = PeerTable(clock)
    harness.load.forget("e0")
    stale = EndpointLoad(1, 1000, timed_tokens=100, timed_micros=800_000)
    harness.load.peers.observe(GatewayReport("g2", 1, 1, {"e0": stale}))
    clock.advance(REFRESH_SECONDS)
    metrics.update_speeds(speeds.relative_speeds())
    assert b'{endpoint="e0"}' not in metrics.exposition()
    clock.advance(RESTART_HOLD_SECONDS)
    measure(harness, {"e0": 0.02})
    assert speeds.relative_speeds()["e0"] < 1


@pytest.mark.parametrize("timed", [(10, 990), (70, 71 * 10**6), (10**11, 10**16), (0, 7), (9, -5)])
def test_absurd_timings_of_a_peer_are_dropped(logged, timed):
    """One faulty peer must neither make an engine look fast or slow nor lose its load."""
    load = EndpointLoad(3, 5000, 600, 0, 0, *timed)
    report = decode_report(encode_report(GatewayReport("g2", 1, 1, {"e1": load})))
    decoded = report.loads_by_endpoint["e1"]
    assert (decoded.runs, decoded.timed_tokens, decoded.timed_micros) == (3, 0, 0)
    assert [message["part"] for message in logged] == ["timings"]


def test_events_of_a_stream_are_timed_and_reported(harness, clock, logged):
    """The first event's delay is prefill, a long pause a preemption, a slow caller no engine's."""
    request, _ = harness.request(kind=RequestKind.STREAM, timeout=39.0)
    session = StreamSession(request, harness.context, set())
    defer.Deferred.fromCoroutine(session.run())
    connection = harness.pool.connections[0]
    connection.begin()
    for id, pause in enumerate([0.3, 0.04, 0.04, 4.5, 0.04]):
        clock.advance(pause)
        connection.send_body(encode_event(id))
    session.pause()
    clock.advance(1.0)
    connection.send_body(encode_event(5))
    (load,) = harness.load.generation_loads().values()
    assert (load.timed_tokens, load.timed_micros) == (4, 40_000)
    assert [message["speed"] for message in logged if "speed" in message] == [1.0]
