"""The known crashes of endpoints, indexed by the requests in flight at each, within limits."""

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.messages import SUSPECT_CRASHES, EndpointCrash

__all__ = ["CrashLog"]

# Reports about one endpoint that are closer than this in time are about the same crash.
SAME_CRASH_SECONDS = 0.8
# How long a crash without suspects is remembered.
CRASH_RETENTION_SECONDS = 600.0
# Limits on memory: this many crashes with this many fingerprints each take a few megabytes.
MAX_CRASHES = 256
MAX_FINGERPRINTS_PER_CRASH = 32


class CrashLog:
    """Crashes of endpoints, oldest first, and by the fingerprints of the requests in flight."""

    __slots__ = ("clock", "crashes", "by_fingerprint")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.crashes: list[EndpointCrash] = []
        self.by_fingerprint: dict[int, list[EndpointCrash]] = {}

    def find(
        self, endpoint: str, at: float, restored: bool = False, sent_at: float = float("-inf")
    ) -> EndpointCrash | None:
        """The known crash of ``endpoint`` at that time, but not before ``sent_at``.

        With ``restored`` the time does not matter.
        """
        return next(
            (
                crash
                for crash in reversed(self.crashes)
                if crash.endpoint == endpoint
                and (restored or abs(crash.crashed_at - at) <= SAME_CRASH_SECONDS)
                and crash.crashed_at >= sent_at
            ),
            None,
        )

    def add(self, crash: EndpointCrash) -> EndpointCrash:
        self._evict()
        crash.updated_at = self.clock.seconds()
        self.crashes.append(crash)
        return crash

    def add_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> bool:
        """Add a request in flight at a crash; return whether it was added."""
        if fingerprint in crash.fingerprints:
            return False
        if len(crash.fingerprints) >= MAX_FINGERPRINTS_PER_CRASH:
            return False
        crash.fingerprints.add(fingerprint)
        self.by_fingerprint.setdefault(fingerprint, []).append(crash)
        return True

    def remove_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> None:
        crash.fingerprints.discard(fingerprint)
        crashes = self.by_fingerprint[fingerprint]
        crashes.remove(crash)
        if not crashes:
            del self.by_fingerprint[fingerprint]

    def remove(self, crash: EndpointCrash) -> None:
        for fingerprint in list(crash.fingerprints):
            self.remove_fingerprint(crash, fingerprint)
        self.crashes.remove(crash)

    def suspects(self, crash: EndpointCrash) -> list[int]:
        """The requests of a crash that were in flight at others too."""
        return [
            fingerprint
            for fingerprint in crash.fingerprints
            if len(self.by_fingerprint[fingerprint]) >= SUSPECT_CRASHES
        ]

    def most_suspected(self, crash: EndpointCrash) -> list[int]:
        """The requests of a crash, sorted by the number of crashes they were in flight at."""
        return sorted(
            crash.fingerprints, key=lambda fingerprint: -len(self.by_fingerprint[fingerprint])
        )

    def crashed_since(self, fingerprint: int, at: float) -> bool:
        """Whether an endpoint has crashed under the request at ``at`` or later."""
        crashes = self.by_fingerprint.get(fingerprint, ())
        return any(crash.crashed_at >= at for crash in crashes)

    def _evict(self) -> None:
        """Drop expired crashes, and the oldest if there are too many; keep those with suspects."""
        oldest = self.clock.seconds() - CRASH_RETENTION_SECONDS
        expired = [crash for crash in self.crashes if crash.crashed_at < oldest]
        for crash in expired:
            if not self.suspects(crash):
                self.remove(crash)
        if len(self.crashes) >= MAX_CRASHES:
            self.remove(
                min(self.crashes, key=lambda crash: (bool(self.suspects(crash)), crash.crashed_at))
            )
