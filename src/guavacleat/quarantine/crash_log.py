"""The known crashes of endpoints, indexed by what was in flight at each, within limits."""

from twisted.internet.interfaces import IReactorTime

from guavacleat.quarantine.messages import SUSPECT_CRASHES, EndpointCrash

__all__ = ["CrashLog"]

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
    :ivar revision: grows with each change.
    """

    __slots__ = ("clock", "crashes", "by_fingerprint", "parts", "revision")

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.crashes: list[EndpointCrash] = []
        self.by_fingerprint: dict[int, list[EndpointCrash]] = {}
        self.parts: set[int] = set()
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
        self.by_fingerprint.setdefault(fingerprint, []).append(crash)
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
