"""The known crashes of endpoints, indexed by what was in flight at each, within limits."""

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.messages import QUARANTINE_CRASHES, SUSPECT_CRASHES, EndpointCrash

__all__ = ["EVIDENCE_CRASHES", "CrashLog"]

# Number of latest crashes of a request or part that are kept and reported before others: enough to
# count its failed trials.
EVIDENCE_CRASHES = 8

# Reports about one endpoint that are closer than this in time are about the same crash.
SAME_CRASH_SECONDS = 0.8
# How long a crash without suspects is remembered.
CRASH_RETENTION_SECONDS = 600.0
# Limits on memory: this many crashes with this many fingerprints each take a few megabytes.
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 32
MAX_PARTS_PER_CRASH = 128


class CrashLog:
    """Crashes of endpoints, oldest first, and by the fingerprints of what was in flight.

    :ivar parts: the fingerprints that are those of parts of prompts; the others are of requests.
    :ivar recurrent: the fingerprints with ``QUARANTINE_CRASHES`` crashes or more.
    :ivar revision: grows with each change.
    """

    __slots__ = ("clock", "crashes", "by_fingerprint", "parts", "recurrent", "revision")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.crashes: list[EndpointCrash] = []
        self.by_fingerprint: dict[int, list[EndpointCrash]] = {}
        self.parts: set[int] = set()
        self.recurrent: set[int] = set()
        self.revision = 0

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
        self.revision += 1
        return crash

    def add_fingerprint(self, crash: EndpointCrash, fingerprint: int, is_part: bool) -> bool:
        """Add a request or part in flight at a crash; return whether it was added.

        If there are too many, it replaces one that was in flight at fewer crashes.
        """
        members = crash.parts if is_part else crash.requests
        if fingerprint in members:
            return False
        if len(members) >= (MAX_PARTS_PER_CRASH if is_part else MAX_REQUESTS_PER_CRASH):
            least = min(members, key=self._crash_count)
            if self._crash_count(least) >= self._crash_count(fingerprint):
                return False
            self.remove_fingerprint(crash, least)
        members.add(fingerprint)
        crashes = self.by_fingerprint.setdefault(fingerprint, [])
        crashes.append(crash)
        if len(crashes) >= QUARANTINE_CRASHES:
            self.recurrent.add(fingerprint)
        if is_part:
            self.parts.add(fingerprint)
        self.revision += 1
        return True

    def _crash_count(self, fingerprint: int) -> int:
        return len(self.by_fingerprint.get(fingerprint, ()))

    def remove_fingerprint(self, crash: EndpointCrash, fingerprint: int) -> None:
        crash.requests.discard(fingerprint)
        crash.parts.discard(fingerprint)
        crashes = self.by_fingerprint[fingerprint]
        crashes.remove(crash)
        if len(crashes) < QUARANTINE_CRASHES:
            self.recurrent.discard(fingerprint)
        if not crashes:
            del self.by_fingerprint[fingerprint]
            self.parts.discard(fingerprint)
        self.revision += 1

    def remove(self, crash: EndpointCrash) -> None:
        for fingerprint in crash.fingerprints:
            self.remove_fingerprint(crash, fingerprint)
        self.crashes.remove(crash)
        self.revision += 1

    def suspects(self, crash: EndpointCrash) -> list[int]:
        """The requests and parts of a crash that were in flight at others too."""
        return [
            fingerprint
            for fingerprint in crash.fingerprints
            if self._crash_count(fingerprint) >= SUSPECT_CRASHES
        ]

    def crashed_since(self, fingerprint: int, at: float) -> bool:
        """Whether an endpoint has crashed under the request or part at ``at`` or later."""
        crashes = self.by_fingerprint.get(fingerprint, ())
        return any(crash.crashed_at >= at for crash in crashes)

    def _evict(self) -> None:
        """Drop expired crashes without suspects, and one if there are too many."""
        oldest = self.clock.seconds() - CRASH_RETENTION_SECONDS
        expired = [crash for crash in self.crashes if crash.crashed_at < oldest]
        for crash in expired:
            if not self.suspects(crash):
                self.remove(crash)
        if len(self.crashes) >= MAX_CRASHES:
            self.remove(self._least_needed())

    def _least_needed(self) -> EndpointCrash:
        """The oldest crash; the evidence against what recurs is needed most, then suspects."""
        evidence = {
            crash
            for fingerprint in self.recurrent
            for crash in self.by_fingerprint[fingerprint][-EVIDENCE_CRASHES:]
        }
        return min(
            self.crashes,
            key=lambda crash: (crash in evidence, bool(self.suspects(crash)), crash.crashed_at),
        )
