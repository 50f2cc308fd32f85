"""treq as the store's client uses it."""

__all__ = ["TreqHttp"]


class TreqHttp:
    """Makes calls with treq.

    :param clock: provides time; Twisted's reactor if None.
    :param client: a treq ``HTTPClient``; treq itself if None. It is imported only where it is used:
        it takes some 9 MB of a process's memory.
    """

    def __init__(self, clock=None, client=None):
        self.clock = clock
        self.client = client

    def request(self, method: str, url: str, data: bytes | None = None, timeout: float = 5.0):
        """Fire with the response; ``timeout`` is in seconds."""
        if self.client is None:
            import treq

            self.client = treq
        return self.client.request(method, url, data=data, timeout=timeout, reactor=self.clock)
