"""The order over all gateways: pure assignments under the loads that they answer."""

import itertools
import random

import pytest

from guavacleat.admission.backlog import WaitingGeneration
from guavacleat.admission.fleet_order import Contender, assign
from guavacleat.admission.head_watch import (
    HEAD_MAX_SECONDS,
    SEEN_ROOM_SECONDS,
    SLACK_TOLERANCE_SECONDS,
    HeadWatch,
)
from guavacleat.placement.engine_choice import GenerationDemand
from tests.forwarding.harness import ENGINE

KEYS = itertools.count(1)
URGENT, DEFERRABLE = 0, 2


class Engines:
    """Engines by id with the tokens that each has free; the first one with room is cheapest."""

    def __init__(self, **free):
        self.free = dict(free)

    def place(self, contender, closed):
        tokens = contender.demand.expected_tokens
        found = (id for id, free in self.free.items() if id not in closed and free >= tokens)
        engine = next(found, None)
        if engine is not None:
            self.free[engine] -= tokens
        return engine

    def usable_ids(self, contender):
        return list(self.free)


def contender(rank=URGENT, slack=1.0, tokens=1000, output=500, own=True):
    deferrable = rank == DEFERRABLE
    demand = GenerationDemand(ENGINE, tokens, tokens - output, True, deferrable)
    return Contender(next(KEYS), rank, slack, demand, entry="own" if own else None)


def started(own, others=(), **free):
    return [item for item, _ in assign(own, list(others), Engines(**free)).own]


def test_burst_of_deferrable_requests_while_urgent_ones_arrive():
    """Guards against urgent requests that pay for a burst of long ones which came before them."""
    burst = [contender(DEFERRABLE, slack=0.1, tokens=3000) for _ in range(40)]
    urgent = [contender(URGENT, slack=1.2) for _ in range(4)]
    assert started([*burst, *urgent], a=3000, b=1000) == urgent
    assert started([*burst, *urgent], a=7000)[4:] == burst[:1]


def test_thirty_gateways_that_see_the_same_room():
    """Guards against gateways that fill the same room because each looks at its own queue only."""
    waiting = {number: contender(slack=number / 10) for number in range(30)}
    found = []
    for own in waiting:
        others = [
            Contender(item.key, item.rank, item.slack, item.demand)
            for number, item in waiting.items()
            if number != own
        ]
        random.Random(own).shuffle(others)
        found += started([waiting[own]], others, a=2000, b=1000)
    assert found == [waiting[0], waiting[1], waiting[2]]


def test_behind_a_request_without_room_only_short_outputs_and_more_urgent_ones_start():
    """Guards against small requests that take each bit of room from a large one ahead of them."""
    large = contender(slack=0.1, tokens=5000)
    small, short = contender(), contender(output=64)
    late_urgent = contender(URGENT, slack=-1.0)
    assert started([large, small, short], a=2000) == [short]
    assert started([contender(DEFERRABLE, 0.1, 5000), late_urgent], a=2000) == [late_urgent]
    assert started([large, late_urgent], a=2000) == []


def test_late_requests_come_after_all_that_can_be_on_time():
    late, on_time = contender(URGENT, slack=-0.1), contender(DEFERRABLE, slack=3.0)
    assert started([late, on_time], a=1000) == [on_time]


def test_work_ends_when_all_own_requests_are_decided():
    """Guards against turns whose work grows with what waits behind the own requests elsewhere."""
    others = [contender(DEFERRABLE, own=False) for _ in range(1000)]
    engines = Engines(a=10_000)
    assert not assign([contender()], others, engines).left_room
    assert engines.free == {"a": 9000}


@pytest.fixture
def head():
    return WaitingGeneration(7, URGENT, 1.0, 1000, 500, False)


def count_turns(watch, head, seconds, room, start=0.0, step=0.01):
    """Number of turns in which ``head`` counts, with turns every ``step`` seconds."""
    counted = 0
    for turn in range(round(seconds / step)):
        counting = watch.counting([head], start + turn * step)
        counted += len(counting)
        if counting and room:
            watch.record_room([head.key])
    return counted


def test_peer_that_reports_heads_and_never_takes_the_room(head):
    """Guards against a peer with a fault that keeps room free for good."""
    watch = HeadWatch()
    counted = count_turns(watch, head, 5.0, room=True)
    assert counted * 0.01 == pytest.approx(SEEN_ROOM_SECONDS, abs=0.02)
    assert watch.skipped_count == 1


def test_head_without_room_counts_until_it_must_be_late(head):
    """Guards against a reported generation that fits nowhere and blocks all others."""
    watch = HeadWatch()
    counted = count_turns(watch, head, 5.0, room=False)
    assert counted * 0.01 == pytest.approx(head.slack + SLACK_TOLERANCE_SECONDS, abs=0.02)
    head.slack = -0.1
    counted = count_turns(watch, head, 2 * HEAD_MAX_SECONDS, room=False, start=5.0)
    assert counted * 0.01 == pytest.approx(HEAD_MAX_SECONDS, abs=0.02)
    assert watch.skipped_count == 0


def test_time_between_turns_is_not_seen_room(head):
    """Guards against dropping a peer's request after one look at the room long ago."""
    watch = HeadWatch()
    head.slack = 4.0
    assert count_turns(watch, head, 3.0, room=True, step=1.0) == 3


def test_remembered_heads_are_bounded():
    watch = HeadWatch()
    for key in range(10_000):
        watch.counting([WaitingGeneration(key, 0, 1.0, 10, 5, False)], 0.0)
    assert len(watch.seen_by_key) < 3000
