"""Endpoints that said in an answer that they will shut down.

The notice in the store may come much later, and until then its entry says that the endpoint is
ready. What the endpoint said holds for its process whatever the entry says, also when the entry
lapses and comes back.
"""

from guavacleat.membership.entries import EndpointEntry

__all__ = ["LeavingEndpoints"]

# The earliest notices are dropped beyond this number; ids are rarely used again.
MAX_REMEMBERED = 4096


class LeavingEndpoints:
    """The processes that said so, by the endpoint's id."""

    def __init__(self):
        self.entries_by_id: dict[str, EndpointEntry] = {}

    def record(self, entry: EndpointEntry) -> bool:
        """Record that the process of ``entry`` is leaving; return whether that is new."""
        if entry in self:
            return False
        self.entries_by_id.pop(entry.id, None)
        self.entries_by_id[entry.id] = entry
        if len(self.entries_by_id) > MAX_REMEMBERED:
            del self.entries_by_id[next(iter(self.entries_by_id))]
        return True

    def __contains__(self, entry: EndpointEntry) -> bool:
        recorded = self.entries_by_id.get(entry.id)
        return recorded is not None and recorded.is_same_process(entry)
