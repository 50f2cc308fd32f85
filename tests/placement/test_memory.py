"""Tests of the memory forecast and of the reserve, with short urgent and long deferrable runs."""

import random

import pytest

from guavacleat.peers import PeerTable
from guavacleat.peers.report import GatewayReport
from guavacleat.placement import EndpointLoad, Run
from guavacleat.placement.memory_forecast import OVERRUN_PROBABILITY, growth_share
from guavacleat.placement.reserve import FALL_SECONDS, MAX_RESERVE_SHARE, WINDOW_SECONDS
from guavacleat.routes import RequestKind
from guavacleat.routes.contention import Contention
from tests.forwarding.harness import ENGINE, ForwardingHarness

URGENT, DEFERRABLE = (Contention(frozenset({name})) for name in ("other", "r"))


@pytest.fixture
def harness(clock):
    return ForwardingHarness(clock, names=("e1", "e2"))


def place(harness, contention):
    request, _ = harness.request(kind=RequestKind.STREAM, max_output_tokens=500)
    request.traits.contention = contention
    return harness.context.placement.choose_for_generation(request, set())


def fill(harness, names, peak, held, urgent=False):
    """Start 10 runs on each engine, with ``peak`` and ``held`` tokens together."""
    for name, number in ((name, number) for name in names for number in range(10)):
        run = Run(f"{peak}-{number}", peak // 10, 0, held // 10, urgent)
        harness.load.begin(name, run)


def reserved(harness):
    return harness.context.placement.engine_chooser.reserves.tokens_by_service().get("svc", 0)


@pytest.mark.parametrize("draw", [lambda r: r.random(), lambda r: (r.paretovariate(1.5) - 1) / 4])
def test_growth_seldom_exceeds_the_forecast_before_a_run_ends(draw):
    """Even or heavy-tailed remaining lengths, mean 0.5: each overrun may preempt a run."""
    rng = random.Random(5)
    for runs in (3, 10, 40):
        over = [min(draw(rng) for _ in range(runs)) > growth_share(runs) / 2 for _ in range(4000)]
        assert sum(over) / len(over) <= OVERRUN_PROBABILITY + 0.03


def test_urgent_generations_find_memory_in_a_burst_of_deferrable_ones(harness, logged):
    """Long generations that filled the memory would delay urgent ones until one of them ends."""
    fill(harness, ("e1", "e2"), 6000, 5000, urgent=True)
    assert place(harness, DEFERRABLE) is not None
    assert reserved(harness) == 6000
    assert [line["tokens"] for line in logged if line["message_type"] == "reserve:changed"] == [
        6000
    ]
    harness.load.runs_by_endpoint.clear()
    fill(harness, ("e1", "e2"), 24000, 24000)
    assert place(harness, DEFERRABLE) is None
    # Nothing is kept from the requests of a service without contention (None).
    assert None not in (place(harness, URGENT), place(harness, None))


def test_reserve_falls_to_zero_after_urgent_demand_has_ended(harness, clock):
    """A reserve that outlasted urgent demand would leave memory unused for good."""
    fill(harness, ("e1", "e2"), 50 * ENGINE.memory_tokens, 1000, urgent=True)
    place(harness, URGENT)
    assert reserved(harness) == MAX_RESERVE_SHARE * ENGINE.memory_tokens
    harness.load.runs_by_endpoint.clear()
    fill(harness, ("e1", "e2"), 28000, 28000)
    clock.advance(WINDOW_SECONDS)
    assert place(harness, DEFERRABLE) is None
    clock.advance(10 * FALL_SECONDS)
    assert place(harness, DEFERRABLE) is not None
    assert reserved(harness) == 0


def test_reports_of_an_earlier_release_count_their_peaks(harness, clock):
    """Runs of unknown use must not pass for free memory, also beside runs of known use."""
    harness.load.peers = PeerTable(clock)
    loads = {name: EndpointLoad(9, 29000) for name in ("e1", "e2")}
    harness.load.peers.observe(GatewayReport("g2", 1, 1, loads))
    assert place(harness, URGENT) is None
    loads = {name: EndpointLoad(2, 26000) for name in ("e1", "e2")}
    harness.load.peers.observe(GatewayReport("g2", 1, 2, loads))
    fill(harness, ("e1", "e2"), 2000, 1000)
    assert place(harness, URGENT) is not None
    fill(harness, ("e1", "e2"), 1900, 1800)
    assert place(harness, URGENT) is None


def test_move_goes_to_another_data_centre_while_the_local_engines_are_full(harness):
    """A full engine would preempt the moved run, however little the other has to prefill."""
    request, _ = harness.request(kind=RequestKind.STREAM)
    request.traits.contention = DEFERRABLE
    source = harness.registry.entries_by_id["e1"]
    harness.set_endpoint("far", data_centre="other")
    harness.load.begin("far", Run("p", 9000, pending_prefill_tokens=90000, held_tokens=9000))
    fill(harness, ("e2",), 34000, 10000)
    choose = harness.context.placement.choose_move_target
    assert choose(request, source, 1000, set()).id == "e2"
    request.traits.contention = None  # Without contention the peaks count.
    assert choose(request, source, 1000, set()).id == "far"
    request.traits.contention = DEFERRABLE
    fill(harness, ("e2",), 13000, 13000)
    assert choose(request, source, 1000, set()).id == "far"
