"""Parses completion requests against the configuration in force."""

import uuid

from guavacleat.config.model import Deployment
from guavacleat.errors import GuavacleatError
from guavacleat.idempotency import call_name
from guavacleat.partial_json import loads
from guavacleat.streams.messages import CompletionRequest, ResumePoint

__all__ = ["RequestError", "parse_completion", "MAX_PROMPT_BYTES"]

MAX_PROMPT_BYTES = 1_000_000
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_CAP = 65_536


class RequestError(GuavacleatError):
    """The request is malformed or names something that is not in the configuration."""


def parse_completion(body: bytes, idempotency_key: str | None, deployment: Deployment, now):
    """Return a :class:`CompletionRequest`; raise RequestError with the field and remedy."""
    try:
        raw = loads(body)
    except ValueError as exc:
        raise RequestError("the body is not JSON.", "send a JSON object.") from exc
    if not isinstance(raw, dict):
        raise RequestError("the body is not a JSON object.", "send a JSON object.")
    service = _known(raw, "service", deployment.services_by_name)
    account = _known(raw, "account", deployment.client_accounts_by_name)
    priority_class = _known(raw, "priority_class", deployment.priority_classes_by_name)
    prompt = raw.get("prompt")
    if not isinstance(prompt, str) or not prompt or len(prompt.encode()) > MAX_PROMPT_BYTES:
        raise RequestError("prompt is missing, empty or too large.", "send 1 B to 1 MB of text.")
    max_tokens = raw.get("max_tokens", DEFAULT_MAX_TOKENS)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int):
        raise RequestError(f"max_tokens is {max_tokens!r}.", "send a whole number.")
    if not 1 <= max_tokens <= MAX_TOKENS_CAP:
        raise RequestError(f"max_tokens is {max_tokens}.", f"send 1 to {MAX_TOKENS_CAP}.")
    if not deployment.services_by_name[service].repeatable and not idempotency_key:
        raise RequestError(
            f"service {service} runs each call at most once and needs an idempotency key.",
            "send an Idempotency-Key header, the same on every retry of this call.",
        )
    resume = _resume_point(raw)
    if resume is not None and not deployment.services_by_name[service].repeatable:
        raise RequestError(
            f"calls of service {service} are not resumed.",
            "send the call again with its Idempotency-Key; its answer is replayed.",
        )
    return CompletionRequest(
        request_id=uuid.uuid4().hex,
        service=service,
        account=account,
        priority_class=priority_class,
        priority=deployment.priority_classes_by_name[priority_class].priority,
        prompt=prompt,
        max_tokens=max_tokens,
        call_record_name=call_name(account, service, idempotency_key) if idempotency_key else None,
        arrival=now,
        repeatable=deployment.services_by_name[service].repeatable,
        resume=resume,
        weight=deployment.client_accounts_by_name[account].weight,
    )


def _resume_point(raw: dict) -> ResumePoint | None:
    body = raw.get("resume")
    if body is None:
        return None
    remedy = 'send {"stream": the last stream handle, "received": [text of every token so far]}.'
    received = body.get("received") if isinstance(body, dict) else None
    if not isinstance(received, list) or not all(isinstance(text, str) for text in received):
        raise RequestError("resume does not name the tokens received.", remedy)
    try:
        return ResumePoint.from_handle(body["stream"], received)
    except (KeyError, AttributeError, ValueError) as exc:
        raise RequestError("resume does not name a stream.", remedy) from exc


def _known(raw: dict, field: str, by_name: dict) -> str:
    value = raw.get(field)
    if not isinstance(value, str) or value not in by_name:
        raise RequestError(
            f"{field} {value!r} is not in the configuration in force.",
            f"send one of: {', '.join(sorted(by_name))}.",
        )
    return value
