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
    return RouteTable(version, list(routes), {}, {}, CallerLimits(), keyed=False)


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
