"""Default header names, for an ingress without a platform.

Callers send ``X-Request-Id``, ``X-Api-Key`` and ``X-Deadline`` (timeout in seconds), and for
generations ``X-Prompt-Tokens``, ``X-Max-Tokens`` and ``X-Prompt-Parts`` (``ID:TOKENS`` entries,
separated by commas; the last one is the request's own, others may share the rest). Endpoints
respond with ``X-Request-Id`` and ``X-Endpoint`` (their id, which marks the response as signed), or
with ``X-Not-Run`` if they did not execute the request. ``X-Rate-Limit`` names the requests per
second that an endpoint takes from all gateways together, ``X-Leaving: 1`` says that it will shut
down soon, and ``Retry-After`` in a 503 for how many seconds it wants nothing from this gateway.
"""

from guavacleat.forwarding.messages import (
    ForwardingMetadata,
    MoveResponse,
    RequestMetadata,
    ResponseMetadata,
)
from guavacleat.forwarding.numbers import parse_number, parse_token_count
from guavacleat.forwarding.prompt import parse_prompt_parts
from guavacleat.forwarding.statements import StatementHeaders, parse_statements
from guavacleat.forwarding.wire import Headers, Wire

__all__ = ["NativeWire"]

REQUEST_ID = b"x-request-id"
KEY = b"x-api-key"
DEADLINE = b"x-deadline"
PROMPT_TOKENS = b"x-prompt-tokens"
MAX_TOKENS = b"x-max-tokens"
PROMPT_PARTS = b"x-prompt-parts"
ACCOUNT = b"x-account"
PRIORITY = b"x-priority"
ENDPOINT = b"x-endpoint"
NOT_RUN = b"x-not-run"
STATEMENTS = StatementHeaders(rate_limit=b"x-rate-limit", leaving=b"x-leaving")
# Headers that the gateway removes or replaces.
OWNED = {KEY, DEADLINE, ACCOUNT, PRIORITY, ENDPOINT}
NOT_IMPLEMENTED = 501  # HTTP status


class NativeWire(Wire):
    """See :class:`~guavacleat.forwarding.wire.Wire`; migration is not supported."""

    def parse_request_metadata(self, headers: Headers) -> RequestMetadata:
        values = dict(headers)
        caller_timeout = parse_number(values.get(DEADLINE))
        return RequestMetadata(
            id=values.get(REQUEST_ID, b"").decode("latin-1"),
            key=values.get(KEY, b"").decode("latin-1"),
            caller_timeout=None if caller_timeout is None else max(0.0, caller_timeout),
            prompt_tokens=parse_token_count(values.get(PROMPT_TOKENS)),
            max_output_tokens=parse_token_count(values.get(MAX_TOKENS)),
            prompt_parts=parse_prompt_parts(values.get(PROMPT_PARTS, b"")),
        )

    def endpoint_headers(self, headers: Headers, metadata: ForwardingMetadata) -> Headers:
        kept = [(name, value) for name, value in headers if name not in OWNED]
        if metadata.account is not None:
            kept.append((ACCOUNT, metadata.account.encode("latin-1")))
        if metadata.priority is not None:
            kept.append((PRIORITY, b"%d" % metadata.priority))
        kept.append((ENDPOINT, metadata.incarnation.encode("latin-1")))
        kept.append((DEADLINE, b"%.3f" % metadata.time_left))
        return kept

    def parse_response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        values = dict(headers)
        id = values.get(REQUEST_ID)
        return ResponseMetadata(
            request_id=None if id is None else id.decode("latin-1"),
            signed=ENDPOINT in values,
            not_run=NOT_RUN in values,
            encoded=b"content-encoding" in values,
            statements=parse_statements(status, headers, STATEMENTS),
        )

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
        if retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % retry_after))
        return headers

    def encode_move(self, request_id, target, stop=False):
        raise NotImplementedError("migration is not supported without a platform")

    def decode_move(self, status: int, body: bytes) -> MoveResponse:
        del status, body
        return MoveResponse(NOT_IMPLEMENTED, None)

    def free_copy_path(self, handle: str) -> bytes:
        raise NotImplementedError("copies are not supported without a platform")
