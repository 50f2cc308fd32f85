"""Tests of which services are contended."""

import pytest

from guavacleat.routes import (
    Backend,
    CallerLimits,
    EngineTraits,
    RequestKind,
    Route,
    RouteTable,
    ServiceTraits,
)


def route(name, priority, goal, kind=RequestKind.STREAM):
    return Route(name, "h", f"/{name}/", (Backend("s", 1.0),), kind, 39.0, goal, priority=priority)


def contention(routes, engine=True):
    traits = EngineTraits(24, 27000, 1, 1.0, 4, True, True) if engine else None
    services = {"s": ServiceTraits("s", 10, traits)}
    return (
        RouteTable(1, routes, services, {}, CallerLimits(), False).services_by_name["s"].contention
    )


def test_less_urgent_route_with_twice_the_goal_is_deferrable():
    found = contention([route("long", 2, 4.0), route("short", 0, 1.5)])
    assert found.is_deferrable("long")
    assert not found.is_deferrable("short")


@pytest.mark.parametrize(
    "routes",
    [
        [route("long", 1, 1.8), route("short", 0, 1.5)],
        [route("long", 0, 4.0), route("short", 1, 1.5)],
        [route("long", 2, 4.0), route("short", 0, 1.5, RequestKind.IDEMPOTENT)],
    ],
    ids=["similar goals", "long one more urgent", "plain request"],
)
def test_other_services_are_served_as_before(routes):
    """A deployment without deferrable streams must not be affected by contention."""
    assert contention(routes) is None


def test_service_without_engines_is_not_contended():
    assert contention([route("long", 2, 4.0), route("short", 0, 1.5)], engine=False) is None
