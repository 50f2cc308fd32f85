"""Control calls to an engine: copying a generation's KV cache, freeing a copy and status."""

import json

from guavacleat.addresses import format_address
from guavacleat.forwarding.messages import EndpointStatus, MoveResponse
from guavacleat.partial_json import loads

__all__ = ["decode_move", "decode_status", "encode_move", "free_copy_path", "STATUS_REQUEST"]

MOVE_PATH = b"/-/kv-move"
STATUS_REQUEST = (b"GET", b"/-/report")
OK = 200
DRAINING = "draining"
MS_PER_SECOND = 1000
JSON_HEADERS = [(b"content-type", b"application/json")]


def encode_move(request_id: str, target: tuple[str, int], stop: bool = False):
    """Return method, path, headers and body of the call that copies a KV cache to ``target``.

    :param stop: whether the generation stops before the copy is made; otherwise it continues.
    """
    body = {"id": request_id, "target": format_address(target), "last": stop}
    return b"POST", MOVE_PATH, JSON_HEADERS, json.dumps(body).encode()


def free_copy_path(handle: str) -> bytes:
    """Path of the DELETE request that frees a copy, sent to the copy's source."""
    return f"/-/kv-handle/{handle}".encode()


def decode_move(status: int, body: bytes) -> MoveResponse:
    """Decode the response; the handle is None if the body is invalid."""
    handle = _fields(body).get("handle")
    return MoveResponse(status, None if handle is None else str(handle))


def decode_status(status: int, body: bytes) -> EndpointStatus:
    """Decode an engine's status report; an error or invalid body yields the default status."""
    fields = _fields(body)
    if status != OK:
        return EndpointStatus()
    leaves_ms = fields.get("leaves_ms")
    time_known = isinstance(leaves_ms, (int, float)) and not isinstance(leaves_ms, bool)
    leaving = time_known or fields.get("state") == DRAINING
    return EndpointStatus(leaving, leaves_ms / MS_PER_SECOND if time_known else None)


def _fields(body: bytes) -> dict:
    """Parse a JSON object; empty if the body is anything else."""
    try:
        fields = loads(body) if body else {}
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
