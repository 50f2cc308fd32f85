"""Routes: the longest prefix wins, weights are kept, and configuration never goes back."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from guavacleat.routes import Backend, CallerLimits, RequestKind, Route, RouteTable
from guavacleat.routes.holder import RouteHolder

ONE_SERVICE = (Backend("a", 1),)


def route(prefix, host="h", backends=ONE_SERVICE):
    return Route(prefix, host, prefix, backends, RequestKind.STREAM, 1.0, 0.1)


def table(routes=(), version=1):
    return RouteTable(version, list(routes), {}, {}, CallerLimits(), requires_key=False)


def test_the_longest_prefix_of_the_host_wins():
    routes = table([route("/a/"), route("/a/b/"), route("/a/b/c/", host="other")])
    assert routes.match("h", "/a/b/c/d").name == "/a/b/"
    assert routes.match("h", "/a/x").name == "/a/"
    assert routes.match("other", "/a/x") is None
    assert routes.match("unknown", "/a/x") is None


def test_requests_are_split_by_weight():
    split = route("/", backends=(Backend("a", 90), Backend("b", 10)))
    draw = random.Random(1)
    counts = Counter(split.pick_service(draw) for _ in range(2000))
    assert 0.07 < counts["b"] / 2000 < 0.13


@given(st.lists(st.integers(1, 50), min_size=1))
def test_the_version_in_force_never_goes_back(versions):
    """
    Symptom: a dropped route works again, or a revoked key is let in.
    Sequence: versions arrive in any order: a stale read, a replayed watch, a listing after a gap.
    Cause: only a newer version than the one in force may be taken in.
    """
    holder, seen = RouteHolder(), []
    for version in versions:
        holder.offer(table(version=version))
        seen.append(holder.table.version)
    assert seen == sorted(seen)
    assert seen[-1] == max(versions)


def test_an_older_version_that_the_store_holds_is_told_and_not_taken(monkeypatch):
    """
    Symptom: a gateway ignores every configuration that operators apply, without a sign of it.
    Sequence: a version that is far too high by mistake is taken; the right one follows.
    Cause: versions only move forward; what is left behind by that was not told.
    """
    lines = []
    monkeypatch.setattr("guavacleat.routes.holder.log_message", lambda **line: lines.append(line))
    holder = RouteHolder()
    for version in (1 << 40, 8, 1 << 40):
        holder.offer(table(version=version))
    assert (holder.table.version, holder.older, holder.ignored) == (1 << 40, 1, 2)
    older = [line for line in lines if line["message_type"] == "config:older"]
    assert older == [{"message_type": "config:older", "version": 8, "in_force": 1 << 40}]


def test_above_the_highest_version_there_is_always_another():
    holder = RouteHolder()
    for version in (1 << 64, (1 << 64) + 1):
        assert holder.offer(table(version=version))
