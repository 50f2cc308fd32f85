"""Metadata that the gateway exchanges with callers and endpoints."""

from guavacleat.forwarding.statements import EndpointStatements

__all__ = [
    "ResponseMetadata",
    "RequestMetadata",
    "ForwardingMetadata",
    "EndpointStatus",
    "MoveResponse",
    "PromptPart",
    "ResumePoint",
    "RUN_NOT_FOUND",
]


RUN_NOT_FOUND = 404


class PromptPart:
    """A part of a prompt that other prompts may share, for prefix caching."""

    __slots__ = ("id", "tokens")

    def __init__(self, id: str, tokens: int):
        self.id = id
        self.tokens = tokens


class RequestMetadata:
    """Request metadata from the caller.

    :param id: request id; each retry by the caller has a new one.
    :param key: API key of the client account; empty if absent.
    :param caller_timeout: seconds that the caller will wait; None if not specified.
    :param expected_output_tokens: the caller's estimate; None if not specified.
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

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may share: all but the last."""
        return tuple(part.id for part in self.prompt_parts[:-1])


class ResumePoint:
    """Where a generation resumes: a copy of its memory and the last event the caller received."""

    __slots__ = ("source", "handle", "last_event")

    def __init__(self, source: tuple[str, int], handle: str, last_event: int):
        self.source = source
        self.handle = handle
        self.last_event = last_event


class ForwardingMetadata:
    """Metadata that the gateway adds to a request to an endpoint.

    :param incarnation: the endpoint's id; any other endpoint at its address must refuse.
    :param time_left: seconds until the request's deadline.
    :param priority: priority among the engine's requests, 0 is the highest; None to omit it.
    :param resume: where to resume; None for a new generation.
    :param backup_target: address of an engine that keeps an up-to-date copy of the run.
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
    """Response metadata from an endpoint.

    :param request_id: id of the request it responds to; None if absent.
    :param signed: whether the endpoint signed the response.
    :param not_run: whether the endpoint states that it did not execute the request.
    :param encoded: whether an intermediary encoded the body.
    :param statements: what the endpoint says of itself.
    """

    __slots__ = ("request_id", "signed", "not_run", "encoded", "statements")

    def __init__(
        self,
        request_id: str | None,
        signed: bool,
        not_run: bool,
        encoded: bool,
        statements: EndpointStatements | None = None,
    ):
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run
        self.encoded = encoded
        self.statements = statements or EndpointStatements()


class EndpointStatus:
    """Status reported by an endpoint.

    :param leaving: whether it will shut down soon.
    :param leaves_in: seconds until it shuts down; None if unknown.
    """

    __slots__ = ("leaving", "leaves_in")

    def __init__(self, leaving: bool = False, leaves_in: float | None = None):
        self.leaving = leaving
        self.leaves_in = leaves_in


class MoveResponse:
    """An engine's response to a call that copies a run.

    :param status: HTTP status; 0 if the engine did not respond.
    :param handle: identifies the copy; None if there is none.
    """

    __slots__ = ("status", "handle")

    def __init__(self, status: int, handle: str | None):
        self.status = status
        self.handle = handle

    @property
    def copied(self) -> bool:
        return self.status == 200 and self.handle is not None

    @property
    def is_stopped(self) -> bool:
        """Whether the run no longer executes, in the response to a call that stops it.

        An engine that stopped the run but couldn't copy it responds with a handle too.
        """
        return self.status == RUN_NOT_FOUND or self.handle is not None
