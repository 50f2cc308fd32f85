"""Which prefix blocks each endpoint's engine probably holds, from late and gappy cache events.

An event may be missing, so the map can be wrong in both directions; it steers requests and never
decides anything else. A block this gateway sent a request for is assumed stored (its event comes
later). A block is forgotten ``TTL_SECONDS`` after it was last heard of or used: a missing
eviction event would otherwise leave it in the map for good, and requests would keep going to an
engine that has to read the whole prompt.
"""

from twisted.internet.interfaces import IReactorTime

__all__ = ["CacheMap", "TTL_SECONDS"]

TTL_SECONDS = 30.0
MAX_BLOCKS = 4096


class CacheMap:
    """Times at which blocks were last heard of, by endpoint and block, and events read so far."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.heard_at_by_endpoint: dict[str, dict[str, float]] = {}
        self.last_event_by_endpoint: dict[str, int] = {}
        self.gaps = 0

    def sent(self, endpoint: str, blocks: list[str]) -> None:
        """Note that a request with this prefix was sent to ``endpoint``."""
        heard_at = self.heard_at_by_endpoint.setdefault(endpoint, {})
        now = self.clock.seconds()
        for block in blocks:
            heard_at.pop(block, None)
            heard_at[block] = now
        while len(heard_at) > MAX_BLOCKS:
            del heard_at[next(iter(heard_at))]

    def observe(self, endpoint: str, events) -> None:
        """Take in :class:`CacheEvent` messages in order of their numbers."""
        last = self.last_event_by_endpoint.get(endpoint, 0)
        for event in events:
            self.gaps += event.number - last - 1
            last = event.number
            if event.stored:
                self.sent(endpoint, [event.block])
            else:
                self.heard_at_by_endpoint.get(endpoint, {}).pop(event.block, None)
        self.last_event_by_endpoint[endpoint] = last

    def cached_blocks(self, endpoint: str, blocks: list[str]) -> int:
        """How many leading ``blocks`` the endpoint's engine probably holds."""
        heard_at = self.heard_at_by_endpoint.get(endpoint)
        if not heard_at:
            return 0
        oldest = self.clock.seconds() - TTL_SECONDS
        for count, block in enumerate(blocks):
            if heard_at.get(block, oldest) <= oldest:
                return count
        return len(blocks)
