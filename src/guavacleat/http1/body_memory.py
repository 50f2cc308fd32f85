"""Memory for requests' bodies, from their first byte to the end of the response.

Unsent responses share it. They can't be refused; while they fill the memory, bodies are.
"""

__all__ = ["BodyMemory"]

# A body is in memory twice while its parts are joined, and while it waits to be sent.
COPIES = 2
# Long bodies leave a share of the memory to short ones, so that a few slow callers of long bodies
# don't keep all others out.
SHORT_BODY_BYTES = 65536
LONG_BODIES_SHARE = 0.75


class BodyMemory:
    """Memory that the bodies of all requests, and unsent data of their responses, share.

    :param limit: bytes; infinite by default.
    :ivar used: bytes that are reserved.
    """

    __slots__ = ("limit", "used")

    def __init__(self, limit: float = float("inf")):
        self.limit = limit
        self.used = 0

    def reserve(self, size: int, reserved: int = 0) -> bool:
        """Reserve memory for ``size`` bytes of a body; return False if there is too little.

        :param reserved: bytes that are reserved for the same body already.
        """
        is_short = reserved + size <= SHORT_BODY_BYTES
        limit = self.limit if is_short else LONG_BODIES_SHARE * self.limit
        if self.used + COPIES * size > limit:
            return False
        self.used += COPIES * size
        return True

    def release(self, size: int) -> None:
        self.used -= COPIES * size

    def add_unsent(self, size: int) -> None:
        """Count bytes of responses that callers have yet to read."""
        self.used += size

    def remove_unsent(self, size: int) -> None:
        self.used -= size
