"""The isolated runs of suspected requests, of this gateway and of its peers."""

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.messages import Trial

__all__ = ["TrialRegister"]

# A trial that has not crashed its endpoint by then is considered over.
TRIAL_TIMEOUT_SECONDS = 5.0


class TrialRegister:
    """The latest trial of each request, by fingerprint."""

    __slots__ = ("clock", "by_fingerprint")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.by_fingerprint: dict[int, Trial] = {}

    def begin(self, fingerprint: int, endpoint: str, at: float, own: bool) -> None:
        self.by_fingerprint[fingerprint] = Trial(fingerprint, endpoint, at, own)

    def end_own(self, fingerprint: int) -> None:
        """Drop the trial if it is this gateway's."""
        trial = self.by_fingerprint.get(fingerprint)
        if trial is not None and trial.own:
            del self.by_fingerprint[fingerprint]

    def end(self, fingerprint: int, crashed_at: float = float("inf")) -> None:
        """Drop the trial if it began by then."""
        trial = self.by_fingerprint.get(fingerprint)
        if trial is not None and trial.started_at <= crashed_at:
            del self.by_fingerprint[fingerprint]

    def active(self, fingerprint: int) -> Trial | None:
        """The active trial of a request; drops one that timed out."""
        trial = self.by_fingerprint.get(fingerprint)
        if trial is not None and self.clock.seconds() - trial.started_at >= TRIAL_TIMEOUT_SECONDS:
            del self.by_fingerprint[fingerprint]
            return None
        return trial

    def all_active(self) -> list[Trial]:
        active = (self.active(fingerprint) for fingerprint in list(self.by_fingerprint))
        return [trial for trial in active if trial is not None]
