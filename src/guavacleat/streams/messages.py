"""Messages of the stream relay."""

import base64
import hashlib
import json

from guavacleat.errors import GuavacleatError
from guavacleat.quarantine import fingerprint
from guavacleat.routing.prefix import prefix_blocks

__all__ = ["CompletionRequest", "ResumePoint", "StreamMixupError", "StreamBrokenError"]

HANDLE_PARTS = 3
# Blocks of a prompt that routing looks at; beyond them the choice of engine matters little.
ROUTED_BLOCKS = 64


class ResumePoint:
    """Where a reconnecting caller left off: the stream and the tokens it has received.

    The caller brings all of it, so any gateway can go on, also one that never saw the stream.

    :param received: texts of the tokens the caller has, from index 0.
    """

    __slots__ = ("endpoint", "stream_id", "generation", "received")

    def __init__(self, endpoint: str, stream_id: str, generation: str, received=()):
        self.endpoint = endpoint
        self.stream_id = stream_id
        self.generation = generation
        self.received = list(received)

    def handle(self) -> str:
        """The opaque text a caller keeps; the generation in it cannot be guessed by another."""
        parts = [self.endpoint, self.stream_id, self.generation]
        return base64.urlsafe_b64encode(json.dumps(parts).encode()).decode()

    @classmethod
    def from_handle(cls, handle: str, received) -> "ResumePoint":
        """Raises ValueError if ``handle`` is none that :meth:`handle` made."""
        parts = json.loads(base64.urlsafe_b64decode(handle.encode()))
        if not isinstance(parts, list) or [type(part) for part in parts] != [str] * HANDLE_PARTS:
            raise ValueError("not a stream handle")
        return cls(*parts, received)


class CompletionRequest:
    """One caller's request as the gateway accepted it.

    :param request_id: unique per arrival at this gateway.
    :param priority: the engine priority of ``priority_class`` (lower is more urgent).
    :param arrival: reactor seconds when the request arrived.
    :param call: the name of the call's record for its idempotency key, or None without a key.
    :param repeatable: false if the call may run at most once, so a broken one is not resumed.
    :param resume: the :class:`ResumePoint` of a caller that reconnects, or None.
    :param weight: the client account's share of tokens when engines are full.

    ``abandoned`` is set once the caller has left; ``prompt_tokens`` is the prompt's length in
    words, which stand in for the engine's tokens.
    """

    __slots__ = (
        "request_id",
        "service",
        "account",
        "priority_class",
        "priority",
        "prompt",
        "max_tokens",
        "call",
        "arrival",
        "repeatable",
        "resume",
        "weight",
        "abandoned",
        "prompt_tokens",
        "_blocks",
        "_content_key",
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
        call,
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
        self.call = call
        self.arrival = arrival
        self.repeatable = repeatable
        self.resume = resume
        self.weight = weight
        self.abandoned = False
        self.prompt_tokens = len(prompt.split())
        self._blocks: list[str] | None = None
        self._content_key: int | None = None

    @property
    def content_key(self) -> int:
        """The same whenever this account asks for the same again, whatever the request's id."""
        if self._content_key is None:
            asked = (self.service, self.account, str(self.max_tokens), self.prompt)
            self._content_key = fingerprint(*(part.encode() for part in asked))
        return self._content_key

    def blocks(self) -> list[str]:
        """The first blocks of the prompt, as prefix caches name them."""
        if self._blocks is None:
            self._blocks = prefix_blocks(self.prompt.split(), ROUTED_BLOCKS)
        return self._blocks

    def kind(self) -> tuple[str, int]:
        """What output lengths are learnt by."""
        return self.service, self.priority

    def fingerprint(self) -> str:
        """Identifies the request's body, so a key reused for another body is noticed."""
        body = f"{self.service}\0{self.max_tokens}\0{self.prompt}".encode()
        return hashlib.blake2b(body, digest_size=16).hexdigest()


class StreamMixupError(GuavacleatError):
    """A batch came from another generation or another cursor; sending it would mix answers."""

    def __init__(self, expected: str, got: str):
        super().__init__(
            f"expected tokens of {expected}, got {got}.",
            "report this as a bug; the stream was stopped before any wrong token was sent.",
        )


class StreamBrokenError(GuavacleatError):
    """The endpoint serving a stream failed after it may have started it."""

    def __init__(self, endpoint: str, sent: int, detail: str, repeatable: bool = True):
        remedy = "send the request again; the tokens already sent were correct."
        if not repeatable:
            remedy = "check whether the call took effect; it may have run and is not run again."
        super().__init__(f"endpoint {endpoint} failed after {sent} tokens: {detail}.", remedy)
        self.sent = sent
