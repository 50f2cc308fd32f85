"""Calls to an engine beside its requests: moving a running generation, and freeing a copy."""

import json

from guavacleat.addresses import format_address
from guavacleat.forwarding.messages import EndpointStatus, MoveResponse

__all__ = ["decode_move", "decode_status", "encode_move", "free_copy_target", "STATUS_QUESTION"]

MOVE_TARGET = b"/-/kv-move"
STATUS_QUESTION = (b"GET", b"/-/report")
OK = 200
DRAINING = "draining"
MS = 1000
JSON_HEADERS = [(b"content-type", b"application/json")]


def encode_move(request_id: str, target: tuple[str, int]):
    """Return method, target, headers and body that copy a run's memory to ``target``.

    The run goes on meanwhile; the page's ``last``, which stops it first, is not used.
    """
    body = {"id": request_id, "target": format_address(target), "last": False}
    return b"POST", MOVE_TARGET, JSON_HEADERS, json.dumps(body).encode()


def free_copy_target(handle: str) -> bytes:
    """The target of the DELETE that frees a copy, called at its source."""
    return f"/-/kv-handle/{handle}".encode()


def decode_move(status: int, body: bytes) -> MoveResponse:
    """Decode the answer; a body that is not as described counts as a refusal."""
    handle = _fields(body).get("handle")
    return MoveResponse(status, None if handle is None else str(handle))


def decode_status(status: int, body: bytes) -> EndpointStatus:
    """Decode an engine's report; one that is not as described says nothing."""
    fields = _fields(body)
    if status != OK:
        return EndpointStatus()
    leaves_ms = fields.get("leaves_ms")
    known = isinstance(leaves_ms, (int, float)) and not isinstance(leaves_ms, bool)
    leaving = known or fields.get("state") == DRAINING
    return EndpointStatus(leaving, leaves_ms / MS if known else None)


def _fields(body: bytes) -> dict:
    """The fields of an answer; none if it is not a JSON map."""
    try:
        fields = json.loads(body) if body else {}
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
