"""Which services have requests that compete for engines with different urgency.

A service is contended if its engines serve stream routes of different priority, and the goal of a
less urgent route leaves it much more time than that of a more urgent one. Its deferrable requests
can wait for engine memory that the others need at once.
"""

from collections.abc import Iterable

__all__ = ["MIN_GOAL_RATIO", "Contention", "find_contention"]

# Minimum latency goal of a deferrable route, as a multiple of the shortest goal of a more urgent
# one. With a smaller one, a request that waits for an urgent one to end misses its own goal.
MIN_GOAL_RATIO = 2.0


class Contention:
    """The deferrable routes of a contended service.

    :param deferrable_routes: their names; never empty.
    """

    __slots__ = ("deferrable_routes",)

    def __init__(self, deferrable_routes: frozenset[str]):
        self.deferrable_routes = deferrable_routes

    def is_deferrable(self, route_name: str) -> bool:
        return route_name in self.deferrable_routes


def find_contention(stream_routes: Iterable) -> Contention | None:
    """The contention of a service with engines; None if there is none.

    :param stream_routes: the :class:`~.model.Route` objects of streams that lead to it.
    """
    routes = list(stream_routes)
    deferrable = frozenset(
        route.name for route in routes if any(_can_defer(route, other) for other in routes)
    )
    return Contention(deferrable) if deferrable else None


def _can_defer(route, other) -> bool:
    """Whether ``route`` is less urgent than ``other`` and has a much longer goal."""
    return (
        route.priority > other.priority
        and route.latency_goal >= MIN_GOAL_RATIO * other.latency_goal
    )
