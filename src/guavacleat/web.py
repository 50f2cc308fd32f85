"""JSON responses for Twisted web requests."""

import json

__all__ = ["json_response"]


def json_response(request, status: int, body) -> bytes:
    """Set ``status`` and the JSON content type on ``request``; return the encoded body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return json.dumps(body).encode()
