"""Tests of the routers, the cache map and the prefix hashes."""

import pytest

from guavacleat.membership import EndpointRecord
from guavacleat.protocol.gen.sidecar.ttypes import CacheEvent, Occupancy
from guavacleat.routing import get_router_by_name
from guavacleat.routing.cache_map import TTL_SECONDS, CacheMap
from guavacleat.routing.prefix import BLOCK_TOKENS, prefix_blocks
from tests.conftest import make_request

RECORDS = [EndpointRecord(name, "svc", "dc", name) for name in ("a", "b")]
LIMIT = 8
PROMPT = " ".join(f"w{n}" for n in range(BLOCK_TOKENS * 4))


@pytest.fixture
def router(clock):
    return get_router_by_name("cache-load", clock)


def occupancy(peak=0, open_streams=1, to_read=0, slots=4):
    return Occupancy(open_streams, slots, 0, peak, 1000, 10, to_read)


CHOICES = [
    # (occupancy of a, occupancy of b, chosen endpoint)
    (occupancy(to_read=500), occupancy(), "b"),
    (occupancy(peak=800), occupancy(peak=100), "b"),
    (occupancy(peak=990), occupancy(to_read=500), "b"),
    (occupancy(open_streams=4), occupancy(to_read=500), "b"),
    (occupancy(peak=990), occupancy(peak=990), None),
    (occupancy(peak=0, open_streams=0), occupancy(peak=990), "a"),
]


@pytest.mark.parametrize("of_a,of_b,chosen", CHOICES)
def test_choice_by_prefill_memory_and_slots(router, of_a, of_b, chosen):
    router.observe("a", of_a)
    router.observe("b", of_b)
    found = router.choose(RECORDS, make_request(prompt=PROMPT), LIMIT)
    assert (found.name if found else None) == chosen


def test_request_goes_to_the_endpoint_with_its_cached_prefix(router):
    earlier = make_request(prompt=PROMPT)
    router.begin("b", earlier)
    router.end("b", earlier)
    assert router.choose(RECORDS, make_request(prompt=PROMPT + " more"), LIMIT).name == "b"


def test_endpoint_that_refused_is_avoided_temporarily(router, clock):
    router.avoid("a", 0.05)
    assert router.choose(RECORDS[:1], make_request(), LIMIT) is None
    clock.advance(0.05)
    assert router.choose(RECORDS[:1], make_request(), LIMIT).name == "a"


def test_requests_sent_since_the_last_report_count(router):
    """A burst between two reports must not go to a single endpoint."""
    router.observe("a", occupancy())
    router.observe("b", occupancy(to_read=10))
    chosen = []
    for number in range(4):
        request = make_request(prompt=f"{number} " * 20)
        chosen.append(router.choose(RECORDS, request, LIMIT).name)
        router.begin(chosen[-1], request)
    assert set(chosen) == {"a", "b"}


def event(number, block, stored=True):
    return CacheEvent(number=number, stored=stored, block=block)


CACHE_FAULTS = [
    # (events received, seconds since, leading blocks assumed to be cached)
    ([event(1, 0), event(2, 1)], 0, 2),
    ([event(1, 0), event(3, 2)], 0, 1),
    ([event(1, 0), event(2, 1), event(3, 0, stored=False)], 0, 0),
    ([event(1, 0), event(2, 1), event(4, 1, stored=False)], 0, 1),
    ([event(1, 0), event(2, 1)], TTL_SECONDS, 0),
]


@pytest.mark.parametrize("events,elapsed,expected_blocks", CACHE_FAULTS)
def test_cache_map_with_late_and_missing_events(clock, events, elapsed, expected_blocks):
    """A block whose eviction event was lost must not stay in the map."""
    blocks = prefix_blocks(PROMPT.split())
    cache = CacheMap(clock)
    cache.observe("a", [event(e.number, blocks[e.block], e.stored) for e in events])
    clock.advance(elapsed)
    assert cache.cached_blocks("a", blocks) == expected_blocks


def test_prompts_share_the_blocks_of_their_common_prefix():
    tokens = PROMPT.split()
    other = tokens[: 2 * BLOCK_TOKENS] + ["x"] + tokens[2 * BLOCK_TOKENS + 1 :]
    mine, theirs = prefix_blocks(tokens), prefix_blocks(other)
    assert mine[:2] == theirs[:2] and not set(mine[2:]) & set(theirs[2:])


def test_gateways_choose_the_same_endpoint_for_a_prefix(clock):
    """Gateways without knowledge of each other's requests must not spread a prefix over engines."""
    records = [EndpointRecord(f"e{n}", "svc", "dc", f"e{n}") for n in range(6)]
    prompts = [" ".join(f"{subject}-{n}" for n in range(400)) for subject in range(20)]
    homes = [
        {
            get_router_by_name("cache-load", clock)
            .choose(records, make_request(prompt=f"{prompt} {gateway}"), LIMIT)
            .name
            for gateway in range(3)
        }
        for prompt in prompts
    ]
    assert all(len(home) == 1 for home in homes)
    assert len(set.union(*homes)) >= 4, "homes are spread over the endpoints"
