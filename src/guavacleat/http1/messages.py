"""Request and response heads, shared by the HTTP client and server."""

__all__ = ["RequestHead", "ResponseHead", "end_to_end_headers"]

# Headers that are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
}


class RequestHead:
    """A request without its body; header names are in lower case."""

    __slots__ = ("method", "target", "headers", "host")

    def __init__(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]]):
        self.method = method
        self.target = target
        self.headers = headers
        self.host = dict(headers).get(b"host", b"").decode("latin-1").lower()

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class ResponseHead:
    """A response without its body; header names are in lower case."""

    __slots__ = ("status", "reason", "headers")

    def __init__(self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]):
        self.status = status
        self.reason = reason
        self.headers = headers

    @property
    def content_length(self) -> int | None:
        """Size of the body in bytes; None without a content-length header."""
        return next((int(value) for name, value in self.headers if name == b"content-length"), None)


def end_to_end_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Remove the hop-by-hop headers, including those named in ``connection``."""
    values = (value for name, value in headers if name == b"connection")
    named = {item.strip().lower() for value in values for item in value.split(b",")}
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name not in dropped]
