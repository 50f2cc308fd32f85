"""What runs on each endpoint, as far as this gateway knows."""

__all__ = ["EndpointHealth", "LoadBook", "Run"]

# Weight of the newest observation in the moving averages of failures and latency.
SMOOTHING = 0.2


class Run:
    """A request on an endpoint; ``tokens`` is the memory it holds or will hold, 0 if none."""

    __slots__ = ("id", "tokens")

    def __init__(self, id: str, tokens: int = 0):
        self.id = id
        self.tokens = tokens


class EndpointHealth:
    """Moving averages of what one endpoint did: share of failures, seconds to its answers."""

    __slots__ = ("failures", "latency", "failed_at")

    def __init__(self):
        self.failures = 0.0
        self.latency = 0.0
        self.failed_at = float("-inf")


class LoadBook:
    """Runs by endpoint id, of this gateway and (as told) of its peers."""

    def __init__(self, clock):
        self.clock = clock
        self.runs_by_endpoint: dict[str, dict[str, Run]] = {}
        self.health_by_endpoint: dict[str, EndpointHealth] = {}
        self.peers = None

    def begin(self, endpoint_id: str, run: Run) -> None:
        self.runs_by_endpoint.setdefault(endpoint_id, {})[run.id] = run

    def end(self, endpoint_id: str, run_id: str) -> None:
        runs = self.runs_by_endpoint.get(endpoint_id)
        if runs is not None:
            runs.pop(run_id, None)
            if not runs:
                del self.runs_by_endpoint[endpoint_id]

    def forget(self, endpoint_id: str) -> None:
        """Drop what is remembered of an endpoint that is gone."""
        self.health_by_endpoint.pop(endpoint_id, None)

    def own(self, endpoint_id: str) -> tuple[int, int]:
        """This gateway's own runs on the endpoint, and their tokens."""
        runs = self.runs_by_endpoint.get(endpoint_id, {})
        return len(runs), sum(run.tokens for run in runs.values())

    def total(self, endpoint_id: str) -> tuple[int, int]:
        """Runs on the endpoint and their tokens, peers' included."""
        count, tokens = self.own(endpoint_id)
        if self.peers is not None:
            peer_count, peer_tokens = self.peers.total(endpoint_id)
            return count + peer_count, tokens + peer_tokens
        return count, tokens

    def health(self, endpoint_id: str) -> EndpointHealth:
        return self.health_by_endpoint.setdefault(endpoint_id, EndpointHealth())

    def succeeded(self, endpoint_id: str, latency: float) -> None:
        health = self.health(endpoint_id)
        health.failures -= SMOOTHING * health.failures
        health.latency += SMOOTHING * (latency - health.latency)

    def failed(self, endpoint_id: str) -> None:
        health = self.health(endpoint_id)
        health.failures += SMOOTHING * (1 - health.failures)
        health.failed_at = self.clock.seconds()
