"""Approximate contents of each engine's prefix cache, from its cache events.

Events may be delayed or lost, so the map is only a routing hint. The blocks of a dispatched request
are assumed to be cached before their events arrive. A block expires ``TTL_SECONDS`` after its last
event or use, because a lost eviction event would otherwise keep it in the map forever.
"""

from twisted.internet.interfaces import IReactorTime

__all__ = ["CacheMap", "TTL_SECONDS"]

TTL_SECONDS = 30.0
# Blocks kept per endpoint.
MAX_BLOCKS = 4096


class CacheMap:
    """Last-seen time of each block and the last event number, by endpoint."""

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.last_seen_by_endpoint: dict[str, dict[str, float]] = {}
        self.last_event_by_endpoint: dict[str, int] = {}
        self.missed_events = 0

    def mark_cached(self, endpoint: str, blocks: list[str]) -> None:
        """Record blocks that the engine has cached, or will cache for a request sent to it."""
        last_seen = self.last_seen_by_endpoint.setdefault(endpoint, {})
        now = self.clock.seconds()
        for block in blocks:
            last_seen.pop(block, None)
            last_seen[block] = now
        while len(last_seen) > MAX_BLOCKS:
            del last_seen[next(iter(last_seen))]

    def observe(self, endpoint: str, events) -> None:
        """Apply :class:`CacheEvent` messages, in the order of their numbers."""
        last = self.last_event_by_endpoint.get(endpoint, 0)
        for event in events:
            self.missed_events += event.number - last - 1
            last = event.number
            if event.stored:
                self.mark_cached(endpoint, [event.block])
            else:
                self.last_seen_by_endpoint.get(endpoint, {}).pop(event.block, None)
        self.last_event_by_endpoint[endpoint] = last

    def cached_blocks(self, endpoint: str, blocks: list[str]) -> int:
        """Number of leading ``blocks`` that the endpoint's engine has probably cached."""
        last_seen = self.last_seen_by_endpoint.get(endpoint)
        if not last_seen:
            return 0
        oldest = self.clock.seconds() - TTL_SECONDS
        for count, block in enumerate(blocks):
            if last_seen.get(block, oldest) <= oldest:
                return count
        return len(blocks)
