"""Recognizes bodies that are sent in tiny chunks."""

__all__ = ["ChunkMeter"]

# Parsing a chunk costs as much as copying many kilobytes: a body of this many chunks whose data are
# fewer bytes than their framing would hold up the other connections.
MAX_TINY_CHUNKS = 2048
MIN_MEAN_CHUNK_BYTES = 8


class ChunkMeter:
    """Counts the chunks of one body."""

    __slots__ = ("chunks", "size")

    def __init__(self):
        self.chunks = 0
        self.size = 0

    def is_mostly_framing(self, size: int) -> bool:
        """Count a chunk of ``size`` bytes; return whether the body consists of tiny ones."""
        self.chunks += 1
        self.size += size
        return self.chunks > MAX_TINY_CHUNKS and self.size < MIN_MEAN_CHUNK_BYTES * self.chunks
