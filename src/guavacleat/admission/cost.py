"""What a generation costs compared with others of its route.

While engines are short of memory, one long generation takes the place of several short ones. The
cost of a generation is the engine memory that it is expected to hold, times the number of tokens
during whose generation it holds it.
"""

__all__ = ["RelativeCost"]

# Weight of the newest request in a route's mean cost.
SMOOTHING = 0.05
# Bounds of the relative cost: forecasts of lengths are uncertain.
MIN_RELATIVE_COST = 0.1
MAX_RELATIVE_COST = 9.0
# Routes with a mean.
MAX_ROUTES = 256


class RelativeCost:
    """Mean costs by route."""

    def __init__(self):
        # Ordered by first use, the oldest first.
        self.mean_by_route: dict[str, float] = {}

    def observe(self, request) -> float:
        """The square of the request's cost in relation to its route's mean, within bounds.

        :param request: a ``ForwardedRequest`` for a generation, which also updates the mean.
        """
        output = request.expected_tokens() - request.prompt_tokens
        cost = max(1.0, (request.prompt_tokens + output / 2) * output)
        name = request.route.name
        mean = self.mean_by_route.get(name, cost)
        if name not in self.mean_by_route and len(self.mean_by_route) >= MAX_ROUTES:
            del self.mean_by_route[next(iter(self.mean_by_route))]
        mean += SMOOTHING * (cost - mean)
        self.mean_by_route[name] = mean
        return max(MIN_RELATIVE_COST, min(MAX_RELATIVE_COST, (cost / mean) ** 2))
