"""Route matching, weighted services, and the order of configuration versions."""

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


def test_longest_prefix_of_the_host_matches():
    routes = table([route("/a/"), route("/a/b/"), route("/a/b/c/", host="other")])
    assert routes.match("h", "/a/b/c/d").name == "/a/b/"
    assert routes.match("h", "/a/x").name == "/a/"
    assert routes.match("other", "/a/x") is None
    assert routes.match("unknown", "/a/x") is None


def test_requests_are_split_by_weight():
    split = route("/", backends=(Backend("a", 90), Backend("b", 10)))
    rng = random.Random(1)
    counts = Counter(split.pick_service(rng) for _ in range(2000))
    assert 0.07 < counts["b"] / 2000 < 0.13


@given(st.lists(st.integers(1, 50), min_size=1))
def test_version_in_force_never_decreases(versions):
    """A stale read or a replayed watch must not restore a removed route or a revoked key."""
    holder, versions_in_force = RouteHolder(), []
    for version in versions:
        holder.offer(table(version=version))
        versions_in_force.append(holder.table.version)
    assert versions_in_force == sorted(versions_in_force)
    assert versions_in_force[-1] == max(versions)


def test_older_version_is_ignored_and_logged(monkeypatch):
    """A version that is too high by mistake hides later ones; the log must show this."""
    lines = []
    monkeypatch.setattr("guavacleat.routes.holder.log_message", lambda **line: lines.append(line))
    holder = RouteHolder()
    for version in (1 << 40, 8, 1 << 40):
        holder.offer(table(version=version))
    assert (holder.table.version, holder.older_count, holder.ignored_count) == (1 << 40, 1, 2)
    older = [line for line in lines if line["message_type"] == "config:older"]
    assert older == [{"message_type": "config:older", "version": 8, "in_force": 1 << 40}]


def test_versions_beyond_64_bits_are_accepted():
    holder = RouteHolder()
    for version in (1 << 64, (1 << 64) + 1):
        assert holder.offer(table(version=version))
