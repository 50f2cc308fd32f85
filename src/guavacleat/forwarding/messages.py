"""What callers and endpoints tell the gateway, and what the gateway tells them; typed."""

__all__ = [
    "ResponseMetadata",
    "RequestMetadata",
    "ForwardingMetadata",
    "EndpointStatus",
    "MoveResponse",
    "PromptPart",
    "ResumePoint",
]


class PromptPart:
    """A part of a prompt that other prompts may share."""

    __slots__ = ("id", "tokens")

    def __init__(self, id: str, tokens: int):
        self.id = id
        self.tokens = tokens


class RequestMetadata:
    """What a caller says of its request.

    :param id: the request's id; each of a caller's own retries has another.
    :param key: the key that names the client account; empty if none was shown.
    :param patience: seconds that the caller will wait; None if it does not say.
    :param expected_output_tokens: the caller's guess; None if it makes none.
    """

    __slots__ = (
        "id",
        "key",
        "caller_timeout",
        "prompt_tokens",
        "max_output_tokens",
        "expected_output_tokens",
        "prompt_parts",
    )

    def __init__(
        self,
        id: str,
        key: str = "",
        caller_timeout: float | None = None,
        prompt_tokens: int = 0,
        max_output_tokens: int = 0,
        expected_output_tokens: float | None = None,
        prompt_parts: tuple[PromptPart, ...] = (),
    ):
        self.id = id
        self.key = key
        self.caller_timeout = caller_timeout
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.expected_output_tokens = expected_output_tokens
        self.prompt_parts = prompt_parts


class ResumePoint:
    """Where a generation goes on: a copy of its memory, and the last event its caller has."""

    __slots__ = ("source", "handle", "last_event")

    def __init__(self, source: tuple[str, int], handle: str, last_event: int):
        self.source = source
        self.handle = handle
        self.last_event = last_event


class ForwardingMetadata:
    """What the gateway itself tells an endpoint with a request.

    :param incarnation: the endpoint's id; any other endpoint at its address must refuse.
    :param time_left: seconds until the answer is of no more use.
    :param priority: rank among the engine's requests, 0 first; None to leave it out.
    :param resume: go on from there instead of beginning anew.
    :param copy_to: address of an engine that shall keep a growing copy of the run.
    """

    __slots__ = ("incarnation", "time_left", "account", "priority", "resume", "backup_target")

    def __init__(
        self,
        incarnation: str,
        time_left: float,
        account: str | None = None,
        priority: int | None = None,
        resume: ResumePoint | None = None,
        backup_target: tuple[str, int] | None = None,
    ):
        self.incarnation = incarnation
        self.time_left = time_left
        self.account = account
        self.priority = priority
        self.resume = resume
        self.backup_target = backup_target


class ResponseMetadata:
    """What an endpoint says of its answer.

    :param request_id: the request it answers; None if it does not say.
    :param sealed: true if the endpoint signed it.
    :param not_run: true if the endpoint states that it did not run the request.
    :param encoded: true if the body was encoded on the way, so that it is not the endpoint's.
    """

    __slots__ = ("request_id", "signed", "not_run", "encoded")

    def __init__(self, request_id: str | None, signed: bool, not_run: bool, encoded: bool):
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run
        self.encoded = encoded


class EndpointStatus:
    """What an endpoint says of itself when asked.

    :param leaving: whether it is about to go.
    :param leaves_in: seconds until then; None if it does not say.
    """

    __slots__ = ("leaving", "leaves_in")

    def __init__(self, leaving: bool = False, leaves_in: float | None = None):
        self.leaving = leaving
        self.leaves_in = leaves_in


class MoveResponse:
    """An engine's answer to a call that copies a run.

    :param handle: names the copy; None if there is none.
    """

    __slots__ = ("status", "handle")

    def __init__(self, status: int, handle: str | None):
        self.status = status
        self.handle = handle

    @property
    def copied(self) -> bool:
        return self.status == 200 and self.handle is not None
