"""The load of each endpoint: this gateway's own requests and those reported by its peers."""

from twisted.internet.interfaces import IReactorTime

from guavacleat.placement.token_times import TokenTimes
from guavacleat.totals import Summable

__all__ = ["EndpointHealth", "EndpointLoad", "LoadTracker", "Run"]

# Weight of the newest observation in the exponential moving averages.
SMOOTHING = 0.2


class Run:
    """A request running on an endpoint, or memory reserved there for a copy or a move.

    :param peak_tokens: engine memory that it is expected to hold at its end; 0 for plain requests.
    :param pending_prefill_tokens: its prompt tokens awaiting prefill; 0 after its first event.
    :param held_tokens: engine memory that it holds now; 0 unless its service is contended.
    :param urgent: whether it runs in a contended service and is not deferrable.
    """

    __slots__ = ("id", "peak_tokens", "pending_prefill_tokens", "held_tokens", "urgent")

    def __init__(
        self,
        id: str,
        peak_tokens: int = 0,
        pending_prefill_tokens: int = 0,
        held_tokens: int = 0,
        urgent: bool = False,
    ):
        self.id = id
        self.peak_tokens = peak_tokens
        self.pending_prefill_tokens = pending_prefill_tokens
        self.held_tokens = held_tokens
        self.urgent = urgent


class EndpointLoad(Summable):
    """Number of runs on one endpoint, and the sums of their :class:`Run` fields.

    :param urgent_tokens: the part of ``peak_tokens`` of urgent runs.
    :param timed_tokens: output tokens that arrived lately.
    :param timed_micros: microseconds between the events with these tokens.
    """

    __slots__ = (
        "runs",
        "peak_tokens",
        "pending_prefill_tokens",
        "held_tokens",
        "urgent_tokens",
        "timed_tokens",
        "timed_micros",
    )

    def __init__(
        self,
        runs: int = 0,
        peak_tokens: int = 0,
        pending_prefill_tokens: int = 0,
        held_tokens: int = 0,
        urgent_tokens: int = 0,
        timed_tokens: int = 0,
        timed_micros: int = 0,
    ):
        self.runs = runs
        self.peak_tokens = peak_tokens
        self.pending_prefill_tokens = pending_prefill_tokens
        self.held_tokens = held_tokens
        self.urgent_tokens = urgent_tokens
        self.timed_tokens = timed_tokens
        self.timed_micros = timed_micros

    def add(self, other: "EndpointLoad") -> "EndpointLoad":
        """Add ``other`` to this load and return this load.

        If just one of them lacks ``held_tokens``, as a report of an earlier release, its peak
        counts as held: it would otherwise pass for memory that is still free.
        """
        if other.held_tokens and not self.held_tokens:
            self.held_tokens = self.peak_tokens
        missing = other.peak_tokens if self.held_tokens and not other.held_tokens else 0
        super().add(other)
        self.held_tokens += missing
        return self

    def same_as(self, other: "EndpointLoad") -> bool:
        """Whether both count the same runs; what these hold changes with every event."""
        return (self.runs, self.peak_tokens, self.pending_prefill_tokens) == (
            other.runs,
            other.peak_tokens,
            other.pending_prefill_tokens,
        )


class EndpointHealth:
    """Moving averages of one endpoint's failure rate and of its latency in seconds."""

    __slots__ = ("failure_rate", "latency", "failed_at")

    def __init__(self):
        self.failure_rate = 0.0
        self.latency = 0.0
        self.failed_at = float("-inf")


class LoadTracker:
    """Tracks this gateway's runs by endpoint id and run id.

    ``listeners`` are called when a generation starts, produces its first event or ends.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.listeners: list = []
        self.runs_by_endpoint: dict[str, dict[str, Run]] = {}
        self.health_by_endpoint: dict[str, EndpointHealth] = {}
        self.token_times = TokenTimes(clock)
        # Load reported by the peers: a ``PeerTable``.
        self.peers = None

    def begin(self, endpoint_id: str, run: Run) -> None:
        self.runs_by_endpoint.setdefault(endpoint_id, {})[run.id] = run
        self.notify_changed(run)

    def end(self, endpoint_id: str, run: Run) -> None:
        """Remove the run; does nothing if another run with its id has replaced it."""
        runs = self.runs_by_endpoint.get(endpoint_id, {})
        if runs.get(run.id) is not run:
            return
        del runs[run.id]
        if not runs:
            del self.runs_by_endpoint[endpoint_id]
        self.notify_changed(run)

    def notify_changed(self, run: Run) -> None:
        """Notify the listeners that a generation has changed; plain requests are ignored."""
        if run.peak_tokens:
            for listener in self.listeners:
                listener()

    def local(self, endpoint_id: str) -> EndpointLoad:
        """The load of this gateway's own runs on the endpoint."""
        runs = self.runs_by_endpoint.get(endpoint_id, {}).values()
        return EndpointLoad(
            len(runs),
            sum(run.peak_tokens for run in runs),
            sum(run.pending_prefill_tokens for run in runs),
            sum(run.held_tokens for run in runs),
            sum(run.peak_tokens for run in runs if run.urgent),
            *self.token_times.sums(endpoint_id),
        )

    def total(self, endpoint_id: str) -> EndpointLoad:
        """The load of all known runs on the endpoint, including the peers'."""
        load = self.local(endpoint_id)
        return load if self.peers is None else load.add(self.peers.total(endpoint_id))

    def peer_totals(self) -> dict[str, EndpointLoad]:
        """The peers' load by endpoint id."""
        return {} if self.peers is None else self.peers.totals_by_endpoint()

    def generation_loads(self) -> dict[str, EndpointLoad]:
        """The local load by endpoint id, for endpoints that run generations of this gateway."""
        with_runs = (
            id
            for id, runs in self.runs_by_endpoint.items()
            if any(run.peak_tokens for run in runs.values())
        )
        return {id: self.local(id) for id in with_runs}

    def forget(self, endpoint_id: str) -> None:
        """Discard the health and the speed of an endpoint that has left or restarted."""
        self.health_by_endpoint.pop(endpoint_id, None)
        self.token_times.forget(endpoint_id)

    def health(self, endpoint_id: str) -> EndpointHealth:
        return self.health_by_endpoint.setdefault(endpoint_id, EndpointHealth())

    def record_success(self, endpoint_id: str, latency: float) -> None:
        health = self.health(endpoint_id)
        health.failure_rate -= SMOOTHING * health.failure_rate
        health.latency += SMOOTHING * (latency - health.latency)

    def record_failure(self, endpoint_id: str) -> None:
        health = self.health(endpoint_id)
        health.failure_rate += SMOOTHING * (1 - health.failure_rate)
        health.failed_at = self.clock.seconds()
