"""Engine memory that one stream uses: its run's, and a copy's on another engine."""

from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.registry import EndpointEntry
from guavacleat.placement import LoadTracker, Run

__all__ = ["HeldCopy", "StreamMemory"]

# Events that come within some second: a run with fewer left ends by itself before its engine is
# gone.
SHORT_RUN_EVENTS = 20
# Events of a run by when its backup holds its prompt: half a second or more, and a prompt of
# 6,000 tokens is copied to another data centre in 0.7 s.
BACKUP_EVENTS = 16
# Events after which the expected length is looked at again.
FORECAST_EVENTS = 8


class HeldCopy:
    """A copy of the run's memory on ``entry``, named by ``handle`` at its ``source``.

    :param backup: whether the engine keeps it up to date by itself while the run goes on.
    """

    __slots__ = ("entry", "source", "handle", "backup")

    def __init__(self, entry: EndpointEntry, source: EndpointEntry, handle: str, backup=False):
        self.backup = backup
        self.entry = entry
        self.source = source
        self.handle = handle


class StreamMemory:
    """Counts the stream's memory in the load book, where its run is and where a copy is held.

    :param events: events that the run has produced.
    :param copy: where the stream goes on if its engine is gone; None if nowhere.
    """

    def __init__(self, request: ForwardedRequest, load: LoadTracker):
        self.request = request
        self.load = load
        self.events = 0
        self.copy: HeldCopy | None = None
        self._run: Run | None = None
        self._events_at_start = 0
        self._copy_run: Run | None = None

    @property
    def backed_up(self) -> bool:
        """Whether another engine keeps a copy of the run that grows with it."""
        return self.copy is not None and self.copy.backup

    def copy_usable(self) -> bool:
        """Whether the run could go on from the copy now; a backup needs some time to begin."""
        if self.copy is None:
            return False
        return not self.copy.backup or self.events - self._events_at_start >= BACKUP_EVENTS

    @property
    def tokens(self) -> int:
        """Memory that the run holds now."""
        return self.request.prompt_tokens + self.output_tokens

    @property
    def output_tokens(self) -> int:
        """Tokens that the run has produced."""
        traits = self.request.traits.engine
        return self.events * (traits.tokens_per_event if traits else 1)

    def expected_tokens(self) -> int:
        """Memory that the run will hold at its end, by what it has produced so far.

        Left at the first estimate, an engine would look free while runs outgrow it and its memory
        runs out, and first tokens would come seconds late there.
        """
        return self.request.expected_tokens(self.output_tokens)

    def expected_left(self) -> int:
        """Tokens still to come, if the estimate holds."""
        return self.expected_tokens() - self.tokens

    def worth_moving(self) -> bool:
        """Whether the run will outlive the notice that a leaving engine gives."""
        traits = self.request.traits.engine
        if traits is None or not traits.moves:
            return False
        short = SHORT_RUN_EVENTS * traits.tokens_per_event
        return self.expected_left() > short or self.events > SHORT_RUN_EVENTS

    def begin_run(self, entry: EndpointEntry, resumed: bool) -> Run:
        """Count a run on ``entry``; a resumed one has no prompt to read."""
        unread = 0 if resumed else self.request.prompt_tokens
        run = Run(self.request.metadata.id, self.expected_tokens(), unread)
        self.load.begin(entry.id, run)
        return run

    def use_run(self, run: Run) -> None:
        """From now on the events are those of this run."""
        self._run = run
        self._events_at_start = self.events

    def note_event(self) -> None:
        """The run produced an event."""
        self.events += 1
        run = self._run
        if self.events % FORECAST_EVENTS == 0:
            run.peak_tokens = self.expected_tokens()
            if self.copy is not None:
                self._copy_run.peak_tokens = run.peak_tokens
        if run.unread_tokens:
            run.unread_tokens = 0
            self.load.notify_changed(run)

    def keep_copy(self, copy: HeldCopy | None) -> None:
        """Count the copy where it is held, and the former one no more."""
        self.drop_copy()
        self.copy = copy
        if copy is not None:
            self._copy_run = Run(f"copy:{self.request.metadata.id}", self.expected_tokens())
            self.load.begin(copy.entry.id, self._copy_run)

    def drop_copy(self) -> None:
        """Forget the copy: it was used, or the engine that holds it is leaving."""
        if self.copy is not None:
            self.load.end(self.copy.entry.id, self._copy_run)
            self.copy = None
