"""Messages of the stream relay."""

import hashlib

from guavacleat.errors import GuavacleatError

__all__ = ["CompletionRequest", "StreamMixupError", "StreamBrokenError"]


class CompletionRequest:
    """One caller's request as the gateway accepted it.

    :param request_id: unique per arrival at this gateway.
    :param priority: the engine priority of ``priority_class`` (lower is more urgent).
    :param arrival: reactor seconds when the request arrived.
    :param call: the name of the call's record for its idempotency key, or None without a key.
    :param repeatable: false if the call may run at most once, so a broken one is not resumed.
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
