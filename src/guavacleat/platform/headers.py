"""Header names on the platform, and what the product's requests and answers say in them."""

from guavacleat.addresses import format_address
from guavacleat.forwarding.messages import AnswerFacts, CallerFacts, EndpointOrder, PromptPart
from guavacleat.forwarding.numbers import read_number, read_tokens

__all__ = [
    "answer_facts",
    "caller_facts",
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
MS = 1000
# Set by the system alone: what a caller sends under these names is dropped.
OWNED = {KEY, ACCOUNT, PRIORITY, DEADLINE, b"hold", b"pin-ms"}
OWNED_PREFIXES = (b"kv-", b"expect-")


def caller_facts(headers: list[tuple[bytes, bytes]]) -> CallerFacts:
    """Decode what a caller says of its request."""
    values = dict(headers)
    deadline_ms = read_number(values.get(DEADLINE))
    usage = [read_tokens(part) for part in values.get(TOKENS, b"").split(b",")]
    return CallerFacts(
        id=values.get(REQUEST_ID, b"").decode("latin-1"),
        key=values.get(KEY, b"").decode("latin-1"),
        patience=None if deadline_ms is None else max(0.0, deadline_ms / MS),
        prompt_tokens=usage[0],
        max_output_tokens=usage[1] if len(usage) > 1 else 0,
        expected_output_tokens=read_number(values.get(LENGTH_HINT)),
        prompt_parts=_prompt_parts(values.get(PROMPT, b"")),
    )


def _prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    pairs = (item.partition(b":") for item in value.split(b",") if b":" in item)
    parts = [(id.strip(), read_tokens(tokens)) for id, _, tokens in pairs]
    return tuple(PromptPart(id.decode("latin-1"), tokens) for id, tokens in parts if tokens)


def endpoint_headers(
    headers: list[tuple[bytes, bytes]], order: EndpointOrder
) -> list[tuple[bytes, bytes]]:
    """The caller's headers as an endpoint gets them, with those that the system sets."""
    kept = [
        (name, value)
        for name, value in headers
        if name not in OWNED and not name.startswith(OWNED_PREFIXES)
    ]
    if order.resume is not None:
        kept = [(name, value) for name, value in kept if name != LAST_EVENT]
        source = f"{format_address(order.resume.source)}/{order.resume.handle}"
        kept.append((COPY_SOURCE, source.encode()))
        kept.append((LAST_EVENT, b"%d" % order.resume.last_event))
    if order.account is not None:
        kept.append((ACCOUNT, order.account.encode("latin-1")))
    if order.priority is not None:
        kept.append((PRIORITY, b"%d" % order.priority))
    if order.copy_to is not None:
        kept.append((COPY_TARGET, format_address(order.copy_to).encode()))
    kept.append((INCARNATION, order.incarnation.encode("latin-1")))
    kept.append((DEADLINE, b"%d" % max(1, int(order.time_left * MS))))
    return kept


def answer_facts(headers: list[tuple[bytes, bytes]]) -> AnswerFacts:
    """Decode what an endpoint says of its answer."""
    values = dict(headers)
    return AnswerFacts(
        request_id=values.get(REQUEST_ID, b"").decode("latin-1") if REQUEST_ID in values else None,
        sealed=SEAL in values,
        not_run=NOT_RUN in values,
        encoded=b"content-encoding" in values,
    )


def refusal_headers(request_id: str, retry_after: float | None) -> list[tuple[bytes, bytes]]:
    """Headers of an answer of the system's own; ``retry_after`` in seconds."""
    headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_after is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after))
    return headers
