"""Memory for the bodies of requests, from their first byte to the end of the response."""

__all__ = ["BodyMemory"]

# A body is in memory twice while its parts are joined, and while it waits to be sent.
COPIES = 2


class BodyMemory:
    """Memory that the bodies of all requests share.

    :param limit: bytes; infinite by default.
    :ivar used: bytes that are reserved.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: float = float("inf")):
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory for ``size`` bytes of a body; return False if there is too little."""
        if self.used + COPIES * size > self.limit:
            return False
        self.used += COPIES * size
        return True

    def release(self, size: int) -> None:
        self.used -= COPIES * size
