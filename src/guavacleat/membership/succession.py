"""Which of two processes with one id is the later one if their start times say otherwise.

A start time comes from the clock of the endpoint's instance, which may be set back between two
starts. An entry with an earlier start time than the known one is then either a delayed write of a
former process, or written by a new process. A former process writes no more than what was on its
way; a new one goes on writing while the known one is silent.
"""

from twisted.internet.interfaces import IReactorTime

from guavacleat.membership.entries import EndpointEntry

__all__ = ["ProcessSuccession"]

# A live process writes its entry more often than this.
SILENCE_SECONDS = 2.0


class ProcessSuccession:
    """The processes that write the entries, by the endpoint's id."""

    __slots__ = ("clock", "_written_at_by_id", "_candidates_by_id")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        # When the known process last wrote its entry.
        self._written_at_by_id: dict[str, float] = {}
        # The latest entries with earlier start times than the known one.
        self._candidates_by_id: dict[str, EndpointEntry] = {}

    def record_write(self, entry: EndpointEntry) -> None:
        """Record an entry of the known process."""
        self._written_at_by_id[entry.id] = self.clock.seconds()
        self._candidates_by_id.pop(entry.id, None)

    def is_successor(self, entry: EndpointEntry, confirmed: bool) -> bool:
        """Whether an entry with an earlier start time is that of the endpoint's next process.

        :param confirmed: whether a peer has found so.
        """
        candidate = self._candidates_by_id.get(entry.id)
        self._candidates_by_id[entry.id] = entry
        goes_on = candidate is not None and candidate.is_same_process(entry)
        written_at = self._written_at_by_id.get(entry.id, float("-inf"))
        is_silent = self.clock.seconds() - written_at >= SILENCE_SECONDS
        return is_silent and (goes_on or confirmed)

    def forget(self, id: str) -> None:
        self._written_at_by_id.pop(id, None)
        self._candidates_by_id.pop(id, None)
