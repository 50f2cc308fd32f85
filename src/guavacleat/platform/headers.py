"""Encodes and decodes the platform's request and response headers."""

from guavacleat.addresses import format_address
from guavacleat.forwarding.messages import (
    ForwardingMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from guavacleat.forwarding.numbers import parse_number, parse_token_count
from guavacleat.forwarding.prompt import parse_prompt_parts
from guavacleat.forwarding.statements import StatementHeaders, parse_statements

__all__ = [
    "parse_response_metadata",
    "parse_request_metadata",
    "endpoint_headers",
    "refusal_headers",
]

REQUEST_ID = b"attempt-id"
KEY = b"key"
DEADLINE = b"deadline-ms"
SEAL = b"response-seal"
NOT_RUN = b"not-executed"
ACCOUNT = b"tenant"
INCARNATION = b"expect-instance"
PRIORITY = b"request-priority"
LAST_EVENT = b"last-event-id"
COPY_SOURCE = b"kv-from"
COPY_TARGET = b"kv-backup"
PROMPT = b"prompt-prefix"
TOKENS = b"token-usage"
LENGTH_HINT = b"length-hint"
RETRY_AFTER = b"retry-after"
STATEMENTS = StatementHeaders(rate_limit=b"server-limit", leaving=b"server-leaving")
MS_PER_SECOND = 1000
# Callers' headers that are not forwarded: credentials, and those that only the gateway may send.
RESERVED_HEADERS = {KEY, ACCOUNT, PRIORITY, DEADLINE, b"hold", b"pin-ms"}
RESERVED_PREFIXES = (b"kv-", b"expect-")


def parse_request_metadata(headers: list[tuple[bytes, bytes]]) -> RequestMetadata:
    """Decode the metadata of a caller's request."""
    values = dict(headers)
    deadline_ms = parse_number(values.get(DEADLINE))
    usage = [parse_token_count(part) for part in values.get(TOKENS, b"").split(b",")]
    return RequestMetadata(
        id=values.get(REQUEST_ID, b"").decode("latin-1"),
        key=values.get(KEY, b"").decode("latin-1"),
        caller_timeout=None if deadline_ms is None else max(0.0, deadline_ms / MS_PER_SECOND),
        prompt_tokens=usage[0],
        max_output_tokens=usage[1] if len(usage) > 1 else 0,
        expected_output_tokens=parse_number(values.get(LENGTH_HINT)),
        prompt_parts=parse_prompt_parts(values.get(PROMPT, b"")),
    )


def endpoint_headers(
    headers: list[tuple[bytes, bytes]], metadata: ForwardingMetadata
) -> list[tuple[bytes, bytes]]:
    """Headers to send to an endpoint: the caller's, and those that the gateway sets."""
    result = [
        (name, value)
        for name, value in headers
        if name not in RESERVED_HEADERS and not name.startswith(RESERVED_PREFIXES)
    ]
    if metadata.resume is not None:
        result = [(name, value) for name, value in result if name != LAST_EVENT]
        source = f"{format_address(metadata.resume.source)}/{metadata.resume.handle}"
        result.append((COPY_SOURCE, source.encode()))
        result.append((LAST_EVENT, b"%d" % metadata.resume.last_event))
    if metadata.account is not None:
        result.append((ACCOUNT, metadata.account.encode("latin-1")))
    if metadata.priority is not None:
        result.append((PRIORITY, b"%d" % metadata.priority))
    if metadata.backup_target is not None:
        result.append((COPY_TARGET, format_address(metadata.backup_target).encode()))
    result.append((INCARNATION, metadata.incarnation.encode("latin-1")))
    result.append((DEADLINE, b"%d" % max(1, int(metadata.time_left * MS_PER_SECOND))))
    return result


def parse_response_metadata(status: int, headers: list[tuple[bytes, bytes]]) -> ResponseMetadata:
    """Decode the metadata of an endpoint's response."""
    values = dict(headers)
    return ResponseMetadata(
        request_id=values.get(REQUEST_ID, b"").decode("latin-1") if REQUEST_ID in values else None,
        signed=SEAL in values,
        not_run=NOT_RUN in values,
        encoded=b"content-encoding" in values,
        statements=parse_statements(status, headers, STATEMENTS),
    )


def refusal_headers(request_id: str, retry_after: float | None) -> list[tuple[bytes, bytes]]:
    """Headers of a response that the gateway generates; ``retry_after`` is in seconds."""
    headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_after is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after))
    return headers
