"""The product's own header names, for an ingress without a platform.

Callers send ``X-Request-Id``, ``X-Api-Key`` and ``X-Deadline`` (seconds they will wait), and for
generations ``X-Prompt-Tokens`` and ``X-Max-Tokens``. Endpoints answer with ``X-Request-Id`` and
``X-Endpoint`` (their id, which marks the answer as their own), or with ``X-Not-Run`` if they state
that they did not run the request.
"""

from guavacleat.forwarding.messages import AnswerFacts, CallerFacts, EndpointOrder, MoveAnswer
from guavacleat.forwarding.numbers import read_number, read_tokens
from guavacleat.forwarding.wire import Headers, Wire

__all__ = ["NativeWire"]

REQUEST_ID = b"x-request-id"
KEY = b"x-api-key"
DEADLINE = b"x-deadline"
PROMPT_TOKENS = b"x-prompt-tokens"
MAX_TOKENS = b"x-max-tokens"
ACCOUNT = b"x-account"
PRIORITY = b"x-priority"
ENDPOINT = b"x-endpoint"
NOT_RUN = b"x-not-run"
OWNED = {KEY, DEADLINE, ACCOUNT, PRIORITY, ENDPOINT}
NO_MOVES = 501


class NativeWire(Wire):
    """See :class:`~guavacleat.forwarding.wire.Wire`; moves between engines are not spoken."""

    def caller_facts(self, headers: Headers) -> CallerFacts:
        values = dict(headers)
        patience = read_number(values.get(DEADLINE))
        return CallerFacts(
            id=values.get(REQUEST_ID, b"").decode("latin-1"),
            key=values.get(KEY, b"").decode("latin-1"),
            patience=None if patience is None else max(0.0, patience),
            prompt_tokens=read_tokens(values.get(PROMPT_TOKENS)),
            max_output_tokens=read_tokens(values.get(MAX_TOKENS)),
        )

    def endpoint_headers(self, headers: Headers, order: EndpointOrder) -> Headers:
        kept = [(name, value) for name, value in headers if name not in OWNED]
        if order.account is not None:
            kept.append((ACCOUNT, order.account.encode("latin-1")))
        if order.priority is not None:
            kept.append((PRIORITY, b"%d" % order.priority))
        kept.append((ENDPOINT, order.incarnation.encode("latin-1")))
        kept.append((DEADLINE, b"%.3f" % order.time_left))
        return kept

    def answer_facts(self, headers: Headers) -> AnswerFacts:
        values = dict(headers)
        id = values.get(REQUEST_ID)
        return AnswerFacts(
            request_id=None if id is None else id.decode("latin-1"),
            sealed=ENDPOINT in values,
            not_run=NOT_RUN in values,
            encoded=b"content-encoding" in values,
        )

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
        if retry_after is not None:
            headers.append((b"retry-after", b"%.3f" % retry_after))
        return headers

    def encode_move(self, request_id, target):
        raise NotImplementedError("engines without a platform do not move runs")

    def decode_move(self, status: int, body: bytes) -> MoveAnswer:
        del status, body
        return MoveAnswer(NO_MOVES, None)

    def free_copy_target(self, handle: str) -> bytes:
        raise NotImplementedError("engines without a platform keep no copies")
