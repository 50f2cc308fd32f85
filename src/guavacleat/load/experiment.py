"""Runs a workload under a policy on a virtual clock and records what each caller received."""

import itertools

from twisted.internet import defer

from guavacleat.config.model import Limits
from guavacleat.errors import GuavacleatError, NotRunError
from guavacleat.load.clock import HeapClock
from guavacleat.load.fleet import Fleet, Policy
from guavacleat.load.workloads import Arrival, Workload, services_by_endpoint
from guavacleat.standin.sequences import EngineSettings
from guavacleat.streams import CompletionRequest

__all__ = ["CallerLog", "EngineSizes", "POLICIES_BY_NAME", "Run", "run_policy"]

POLICIES_BY_NAME = {
    "guavacleat": Policy("guavacleat", "cache-load", "fair", reserves_headroom=True),
    "least-loaded": Policy("least-loaded", "least-loaded", "fifo", reserves_headroom=False),
    "round-robin": Policy("round-robin", "round-robin", "fifo", reserves_headroom=False),
}
# Upper limit for open requests to finish after the last arrival.
DRAIN_SECONDS = 300.0


class EngineSizes:
    """Sizes of the run's engines; memory in tokens, prefill rate in tokens per second."""

    __slots__ = ("step_seconds", "slots", "memory", "cache_blocks", "prefill_rate")

    def __init__(
        self, step_seconds=0.03, slots=24, memory=34_000, cache_blocks=1200, prefill_rate=14_000
    ):
        self.step_seconds = step_seconds
        self.slots = slots
        self.memory = memory
        self.cache_blocks = cache_blocks
        self.prefill_rate = prefill_rate

    def settings(self, name: str, length_of) -> EngineSettings:
        return EngineSettings(
            name=name,
            step_seconds=self.step_seconds,
            max_batch=self.slots,
            kv_capacity=self.memory,
            cache_blocks=self.cache_blocks,
            output_length=length_of,
            prefill_rate=self.prefill_rate,
        )


class CallerLog:
    """Sink of the relay that records one request's tokens and outcome.

    :ivar token_times: arrival time of each token, by index.
    :ivar outcome: ``completed``, ``not_run``, ``failed``, or ``open`` if the run ended first.
    """

    __slots__ = (
        "arrival",
        "clock",
        "disconnected",
        "token_times",
        "indices",
        "texts",
        "outcome",
        "ended_at",
    )

    def __init__(self, arrival: Arrival, clock):
        self.arrival = arrival
        self.clock = clock
        self.disconnected = False
        self.token_times: list[float] = []
        self.indices: list[int] = []
        self.texts: list[str] = []
        self.outcome = "open"
        self.ended_at: float | None = None

    def set_handle(self, handle: str) -> None:
        """Ignores the handle, because callers of a run do not reconnect."""

    def token(self, index: int, text: str) -> None:
        self.indices.append(index)
        self.texts.append(text)
        self.token_times.append(self.clock.seconds())

    def end(self, reason: str) -> None:
        self.ended_at = self.clock.seconds()


class Run:
    """The result of one policy on one workload.

    :param first_token_timeout: seconds that a caller waits for its first token.
    """

    __slots__ = ("policy", "workload", "logs", "fleet", "seconds", "first_token_timeout")

    def __init__(self, policy, workload, logs, fleet, seconds: float, first_token_timeout: float):
        self.first_token_timeout = first_token_timeout
        self.policy = policy
        self.workload = workload
        self.logs = logs
        self.fleet = fleet
        self.seconds = seconds


def run_policy(
    policy: Policy,
    workload: Workload,
    requests: list[Arrival],
    seconds: float,
    gateways: int = 3,
    sizes: EngineSizes | None = None,
    max_wait: float = 10.0,
    faults=None,
    on_progress=lambda now: None,
) -> Run:
    """Simulate ``requests`` under ``policy`` and return the finished :class:`Run`.

    :param faults: called with the fleet before the start, to schedule faults on its clock.
    :param on_progress: called with the virtual time after each step.
    """
    clock = HeapClock()
    sizes = sizes or EngineSizes()
    lengths_by_id = {arrival.request_id: arrival.length for arrival in requests}
    fleet = Fleet(
        clock,
        services_by_endpoint(workload),
        lambda name: sizes.settings(name, lengths_by_id.__getitem__),
        gateways,
        policy,
    )
    limits = Limits(1000, policy.in_flight, retry_after=1.0, max_wait=max_wait)
    logs = [CallerLog(arrival, clock) for arrival in requests]
    _schedule_next(
        clock, zip(logs, itertools.cycle(fleet.gateways), strict=False), workload, limits
    )
    if faults is not None:
        faults(fleet)
    _run_until_done(clock, logs, seconds, on_progress)
    return Run(policy, workload, logs, fleet, seconds, max_wait)


def _run_until_done(clock: HeapClock, logs, seconds: float, on_progress) -> None:
    while clock.seconds() < seconds + DRAIN_SECONDS:
        if clock.seconds() > seconds and not any(log.outcome == "open" for log in logs):
            return
        clock.advance(max(0.0, clock.next_time() - clock.seconds()))
        on_progress(clock.seconds())


def _schedule_next(clock: HeapClock, calls, workload: Workload, limits: Limits) -> None:
    """Schedule the next arrival, which in turn schedules its successor."""
    log, gateway = next(calls, (None, None))
    if log is None:
        return

    def arrive():
        _send(log, gateway, workload, limits)
        _schedule_next(clock, calls, workload, limits)

    clock.callLater(max(0.0, log.arrival.at - clock.seconds()), arrive)


@defer.inlineCallbacks
def _send(log: CallerLog, gateway, workload: Workload, limits: Limits):
    arrival, kind = log.arrival, log.arrival.kind
    request = CompletionRequest(
        arrival.request_id,
        kind.service,
        arrival.account,
        kind.priority_class,
        kind.priority,
        arrival.prompt,
        kind.max_tokens,
        None,
        log.clock.seconds(),
        repeatable=kind.repeatable,
        weight=workload.weights_by_account[arrival.account],
    )
    try:
        yield gateway.relay.run(request, limits, log)
        log.outcome = "completed"
    except NotRunError:
        log.outcome = "not_run"
    except GuavacleatError:
        log.outcome = "failed"
