"""Tracks the engine memory of one stream: its run and a copy on another engine."""

from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.entries import EndpointEntry
from guavacleat.placement import LoadTracker, Run

__all__ = ["RunCopy", "StreamMemory"]

# A run with fewer remaining events completes within a leaving engine's notice period.
SHORT_RUN_EVENTS = 20
# Events between updates of the expected length.
FORECAST_INTERVAL_EVENTS = 8


class RunCopy:
    """A copy of the run's memory on ``entry``, identified by ``handle`` at ``source``.

    :param backup: whether the engine keeps updating the copy while the run continues.
    """

    __slots__ = ("entry", "source", "handle", "backup")

    def __init__(self, entry: EndpointEntry, source: EndpointEntry, handle: str, backup=False):
        self.backup = backup
        self.entry = entry
        self.source = source
        self.handle = handle


class StreamMemory:
    """Records the memory of the stream's run and of its copy in the load tracker.

    :ivar events: number of events that the run has produced.
    :ivar copy: the copy from which the stream can resume; None if there is none.
    """

    def __init__(self, request: ForwardedRequest, load: LoadTracker):
        self.request = request
        self.load = load
        self.events = 0
        self.copy: RunCopy | None = None
        self._run: Run | None = None
        self._copy_run: Run | None = None

    @property
    def backed_up(self) -> bool:
        """Whether another engine keeps an up-to-date copy of the run."""
        return self.copy is not None and self.copy.backup

    @property
    def tokens(self) -> int:
        """Tokens that the run currently holds in memory."""
        return self.request.prompt_tokens + self.output_tokens

    @property
    def output_tokens(self) -> int:
        """Tokens that the run has produced."""
        traits = self.request.traits.engine
        return self.events * (traits.tokens_per_event if traits else 1)

    def expected_tokens(self) -> int:
        """Expected peak memory of the run in tokens, updated with the output so far.

        Without the update, an engine whose runs exceed the first estimate would look free and get
        more runs than its memory allows.
        """
        return self.request.expected_tokens(self.output_tokens)

    def expected_remaining_tokens(self) -> int:
        """Expected number of tokens still to be generated."""
        return self.expected_tokens() - self.tokens

    def worth_moving(self) -> bool:
        """Whether the run is expected to outlast a leaving engine's notice period.

        A run that is longer than a short one already is assumed to continue.
        """
        traits = self.request.traits.engine
        if traits is None or not traits.moves:
            return False
        short = SHORT_RUN_EVENTS * traits.tokens_per_event
        return self.expected_remaining_tokens() > short or self.events > SHORT_RUN_EVENTS

    def begin_run(self, entry: EndpointEntry, resumed: bool) -> Run:
        """Record a run on ``entry``; a resumed run has no prompt to prefill."""
        pending_prefill = 0 if resumed else self.request.prompt_tokens
        run = Run(
            self.request.metadata.id,
            self.expected_tokens(),
            pending_prefill,
            self.held_tokens(),
            self.request.urgent,
        )
        self.load.begin(entry.id, run)
        return run

    def held_tokens(self) -> int:
        """Tokens that the run holds now; 0 unless its service is contended."""
        return 0 if self.request.traits.contention is None else self.tokens

    def use_run(self, run: Run) -> None:
        """Attribute the following events to ``run``."""
        self._run = run

    def record_event(self) -> None:
        """Count an event of the current run."""
        self.events += 1
        run = self._run
        run.held_tokens = self.held_tokens()
        if self.copy is not None:
            self._copy_run.held_tokens = run.held_tokens
        if self.events % FORECAST_INTERVAL_EVENTS == 0:
            run.peak_tokens = self.expected_tokens()
            if self.copy is not None:
                self._copy_run.peak_tokens = run.peak_tokens
        if run.pending_prefill_tokens:
            run.pending_prefill_tokens = 0
            self.load.notify_changed(run)

    def set_copy(self, copy: RunCopy | None) -> None:
        """Replace the copy and update the load tracker."""
        self.drop_copy()
        self.copy = copy
        if copy is not None:
            self._copy_run = Run(
                f"copy:{self.request.metadata.id}",
                self.expected_tokens(),
                held_tokens=self.held_tokens(),
            )
            self.load.begin(copy.entry.id, self._copy_run)

    def drop_copy(self) -> None:
        """Remove the copy, because it was used or its engine is leaving."""
        if self.copy is not None:
            self.load.end(self.copy.entry.id, self._copy_run)
            self.copy = None
