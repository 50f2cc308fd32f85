"""Parts of prompts on which endpoints have written answers.

Some of the parts of a prompt are shared by all requests of a route. They are in flight at each
crash that any other part causes. What tells them apart is that other answers on them go well.
"""

import collections

from twisted.internet.interfaces import IReactorTime

__all__ = ["AnswerProgress", "PartProofs"]

# An endpoint that has written an answer for this long does not crash on the parts of its prompt. A
# few tokens may still be sent before a crash.
PROOF_SECONDS = 0.5
# How long a part counts as one that used to be sound.
PROOF_RETENTION_SECONDS = 600.0
# Number of parts, some 150 bytes each.
MAX_PROVEN_PARTS = 2048


class PartProofs:
    """When an answer that went well last began, by the fingerprint of a part."""

    __slots__ = ("clock", "began_at_by_part")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        # The latest proof last.
        self.began_at_by_part: collections.OrderedDict[int, float] = collections.OrderedDict()

    def record(self, part: int, began_at: float) -> None:
        previous = self.began_at_by_part.pop(part, began_at)
        self.began_at_by_part[part] = max(previous, began_at)
        if len(self.began_at_by_part) > MAX_PROVEN_PARTS:
            self.began_at_by_part.popitem(last=False)

    def covers(self, part: int, crashed_at: float) -> bool:
        """Whether an answer on the part began after a crash at this clock time."""
        return self.began_at_by_part.get(part, float("-inf")) >= crashed_at

    def used_to_be_sound(self, part: int) -> bool:
        """Whether an answer on the part went well in the last minutes."""
        oldest = self.clock.seconds() - PROOF_RETENTION_SECONDS
        return self.began_at_by_part.get(part, float("-inf")) >= oldest


class AnswerProgress:
    """Notices that an endpoint has written an answer for long enough to prove its parts sound.

    :param on_proven: called once, with the clock time at which the answer began.
    """

    __slots__ = ("clock", "on_proven", "began_at", "proven")

    def __init__(self, clock: IReactorTime, on_proven=lambda began_at: None):
        self.clock = clock
        self.on_proven = on_proven
        self.began_at: float | None = None
        self.proven = False

    def record_output(self) -> None:
        """Record that a token arrived."""
        now = self.clock.seconds()
        if self.began_at is None:
            self.began_at = now
        if now - self.began_at >= PROOF_SECONDS:
            self._prove()

    def record_completion(self) -> None:
        """Record that the answer is complete."""
        if self.began_at is not None:
            self._prove()

    def _prove(self) -> None:
        if not self.proven:
            self.proven = True
            self.on_proven(self.began_at)
