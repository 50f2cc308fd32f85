"""What runs on each endpoint, of this gateway's requests and as its peers tell of theirs."""

from twisted.internet.interfaces import IReactorTime

__all__ = ["EndpointHealth", "EndpointLoad", "LoadTracker", "Run", "sum_loads"]

# Weight of the newest observation in the moving averages of failures and latency.
SMOOTHING = 0.2


class Run:
    """A request on an endpoint, in tokens of engine memory (0 for plain requests).

    :param expected: what it is expected to hold at its end.
    :param unread: its prompt while it has produced nothing; 0 from its first event on.
    """

    __slots__ = ("id", "peak_tokens", "unread_tokens")

    def __init__(self, id: str, peak_tokens: int = 0, unread_tokens: int = 0):
        self.id = id
        self.peak_tokens = peak_tokens
        self.unread_tokens = unread_tokens


class EndpointLoad:
    """Runs on one endpoint added up; the fields are sums of :class:`Run`'s."""

    __slots__ = ("runs", "peak_tokens", "unread_tokens")

    def __init__(self, runs: int = 0, peak_tokens: int = 0, unread_tokens: int = 0):
        self.runs = runs
        self.peak_tokens = peak_tokens
        self.unread_tokens = unread_tokens

    def add(self, other: "EndpointLoad") -> "EndpointLoad":
        """Add ``other`` to this one and return it."""
        for slot in self.__slots__:
            setattr(self, slot, getattr(self, slot) + getattr(other, slot))
        return self

    def same_as(self, other: "EndpointLoad") -> bool:
        return all(getattr(self, slot) == getattr(other, slot) for slot in self.__slots__)


class EndpointHealth:
    """Moving averages of what one endpoint did: share of failures, seconds to its answers."""

    __slots__ = ("failures", "latency", "failed_at")

    def __init__(self):
        self.failures = 0.0
        self.latency = 0.0
        self.failed_at = float("-inf")


class LoadTracker:
    """Runs by endpoint id and request id.

    ``listeners`` are called when a generation begins, produces its first event or ends.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.listeners: list = []
        self.runs_by_endpoint: dict[str, dict[str, Run]] = {}
        self.health_by_endpoint: dict[str, EndpointHealth] = {}
        # Anything with ``total(endpoint_id)``: the peers' runs.
        self.peers = None

    def begin(self, endpoint_id: str, run: Run) -> None:
        self.runs_by_endpoint.setdefault(endpoint_id, {})[run.id] = run
        self.notify_changed(run)

    def end(self, endpoint_id: str, run: Run) -> None:
        """Take the run off; nothing happens if another of its id took its place."""
        runs = self.runs_by_endpoint.get(endpoint_id, {})
        if runs.get(run.id) is not run:
            return
        del runs[run.id]
        if not runs:
            del self.runs_by_endpoint[endpoint_id]
        self.notify_changed(run)

    def notify_changed(self, run: Run) -> None:
        """What listeners know of this run is out of date."""
        if run.peak_tokens:
            for listener in self.listeners:
                listener()

    def local(self, endpoint_id: str) -> EndpointLoad:
        """This gateway's own runs on the endpoint."""
        runs = self.runs_by_endpoint.get(endpoint_id, {}).values()
        return EndpointLoad(
            len(runs),
            sum(run.peak_tokens for run in runs),
            sum(run.unread_tokens for run in runs),
        )

    def total(self, endpoint_id: str) -> EndpointLoad:
        """All known runs on the endpoint."""
        load = self.local(endpoint_id)
        return load if self.peers is None else load.add(self.peers.total(endpoint_id))

    def generation_loads(self) -> dict[str, EndpointLoad]:
        """This gateway's load by endpoint id, for endpoints that run its generations."""
        with_runs = (
            id
            for id, runs in self.runs_by_endpoint.items()
            if any(run.peak_tokens for run in runs.values())
        )
        return {id: self.local(id) for id in with_runs}

    def forget(self, endpoint_id: str) -> None:
        """Drop what is remembered of an endpoint that is gone."""
        self.health_by_endpoint.pop(endpoint_id, None)

    def health(self, endpoint_id: str) -> EndpointHealth:
        return self.health_by_endpoint.setdefault(endpoint_id, EndpointHealth())

    def record_success(self, endpoint_id: str, latency: float) -> None:
        health = self.health(endpoint_id)
        health.failures -= SMOOTHING * health.failures
        health.latency += SMOOTHING * (latency - health.latency)

    def record_failure(self, endpoint_id: str) -> None:
        health = self.health(endpoint_id)
        health.failures += SMOOTHING * (1 - health.failures)
        health.failed_at = self.clock.seconds()


def sum_loads(loads) -> EndpointLoad:
    """Add up several loads."""
    total = EndpointLoad()
    for load in loads:
        total.add(load)
    return total
