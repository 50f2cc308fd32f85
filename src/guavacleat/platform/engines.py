"""Calls to an engine beside its requests: moving a running generation, and freeing a copy."""

import json

from guavacleat.addresses import format_address
from guavacleat.forwarding.messages import MoveAnswer

__all__ = ["decode_move", "encode_move", "free_copy_target"]

MOVE_TARGET = b"/-/kv-move"
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


def decode_move(status: int, body: bytes) -> MoveAnswer:
    """Decode the answer; a body that is not as described counts as a refusal."""
    try:
        fields = json.loads(body) if body else {}
    except ValueError:
        fields = {}
    handle = fields.get("handle") if isinstance(fields, dict) else None
    return MoveAnswer(status, None if handle is None else str(handle))
