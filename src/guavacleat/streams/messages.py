"""Requests, resume points and errors of the stream relay."""

import base64
import hashlib
import json

from guavacleat.errors import GuavacleatError
from guavacleat.partial_json import loads
from guavacleat.quarantine import fingerprint, part_fingerprints
from guavacleat.routing.prefix import prefix_blocks
from guavacleat.streams.sections import split_sections

__all__ = ["CompletionRequest", "ResumePoint", "StreamMismatchError", "StreamBrokenError"]

HANDLE_FIELDS = 3
# Leading blocks of a prompt that prefix-cache routing compares; beyond them the choice of engine
# matters little.
MAX_PREFIX_BLOCKS = 64


class ResumePoint:
    """Position of a reconnecting caller: its stream and the tokens it has received.

    The caller supplies all of it, so that any gateway can resume the stream.

    :param received: texts of the tokens the caller has received, from index 0.
    """

    __slots__ = ("endpoint", "stream_id", "generation", "received")

    def __init__(self, endpoint: str, stream_id: str, generation: str, received=()):
        self.endpoint = endpoint
        self.stream_id = stream_id
        self.generation = generation
        self.received = list(received)

    def handle(self) -> str:
        """Encode the stream as an opaque string; its generation id is not guessable by others."""
        parts = [self.endpoint, self.stream_id, self.generation]
        return base64.urlsafe_b64encode(json.dumps(parts).encode()).decode()

    @classmethod
    def from_handle(cls, handle: str, received) -> "ResumePoint":
        """Decode a string returned by :meth:`handle`; raises ValueError if it is malformed."""
        parts = loads(base64.urlsafe_b64decode(handle.encode()))
        if not isinstance(parts, list) or [type(part) for part in parts] != [str] * HANDLE_FIELDS:
            raise ValueError("malformed stream handle")
        return cls(*parts, received)


class CompletionRequest:
    """A completion request accepted by the gateway.

    :param request_id: unique per arrival at this gateway.
    :param priority: the engine priority of ``priority_class`` (lower is more urgent).
    :param arrival: reactor seconds when the request arrived.
    :param call_record_name: name of the idempotency record; None without an idempotency key.
    :param repeatable: false if the call may run at most once; it is then not resumed elsewhere.
    :param resume: the :class:`ResumePoint` of a reconnecting caller, or None.
    :param weight: the client account's weight in fair queueing.

    ``prompt_tokens`` estimates the prompt's tokens by its words.
    """

    __slots__ = (
        "request_id",
        "service",
        "account",
        "priority_class",
        "priority",
        "prompt",
        "max_tokens",
        "call_record_name",
        "arrival",
        "repeatable",
        "resume",
        "weight",
        "caller_disconnected",
        "prompt_tokens",
        "_blocks",
        "_content_key",
        "_part_keys",
    )

    def __init__(
        self,
        request_id,
        service,
        account,
        priority_class,
        priority,
        prompt,
        max_tokens,
        call_record_name,
        arrival,
        repeatable=True,
        resume=None,
        weight=1.0,
    ):
        self.request_id = request_id
        self.service = service
        self.account = account
        self.priority_class = priority_class
        self.priority = priority
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.call_record_name = call_record_name
        self.arrival = arrival
        self.repeatable = repeatable
        self.resume = resume
        self.weight = weight
        self.caller_disconnected = False
        self.prompt_tokens = len(prompt.split())
        self._blocks: list[str] | None = None
        self._content_key: int | None = None
        self._part_keys: tuple[int, ...] | None = None

    @property
    def content_key(self) -> int:
        """Hash of the service, client account, token limit and prompt, without the request id."""
        if self._content_key is None:
            parts = (self.service, self.account, str(self.max_tokens), self.prompt)
            self._content_key = fingerprint(*(part.encode() for part in parts))
        return self._content_key

    @property
    def part_keys(self) -> tuple[int, ...]:
        """Fingerprints of the sections of the prompt, which other prompts may share."""
        if self._part_keys is None:
            self._part_keys = part_fingerprints(split_sections(self.prompt.split()))
        return self._part_keys

    def blocks(self) -> list[str]:
        """Ids of the prompt's leading blocks in the prefix cache."""
        if self._blocks is None:
            self._blocks = prefix_blocks(self.prompt.split(), MAX_PREFIX_BLOCKS)
        return self._blocks

    def kind(self) -> tuple[str, int]:
        """Key of the output length estimate."""
        return self.service, self.priority

    def fingerprint(self) -> str:
        """Hash of the request body, to detect an idempotency key reused for another body."""
        body = f"{self.service}\0{self.max_tokens}\0{self.prompt}".encode()
        return hashlib.blake2b(body, digest_size=16).hexdigest()


class StreamMismatchError(GuavacleatError):
    """A batch has an unexpected generation or first index and was not delivered."""

    def __init__(self, expected: str, got: str):
        super().__init__(
            f"expected tokens of {expected}, got {got}.",
            "report this as a bug; the stream was stopped before any wrong token was sent.",
        )


class StreamBrokenError(GuavacleatError):
    """An endpoint failed after it had, or may have, started the stream."""

    def __init__(self, endpoint: str, sent: int, detail: str, repeatable: bool = True):
        remedy = "send the request again; the tokens already sent were correct."
        if not repeatable:
            remedy = "check whether the call took effect; it may have run and is not run again."
        super().__init__(f"endpoint {endpoint} failed after {sent} tokens: {detail}.", remedy)
        self.sent = sent
