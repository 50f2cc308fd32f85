"""What the forwarding needs to know of the names on the wire; an adapter implements it."""

from guavacleat.forwarding.messages import (
    AnswerFacts,
    CallerFacts,
    EndpointOrder,
    EndpointStatus,
    MoveAnswer,
)

__all__ = ["Headers", "Wire"]

Headers = list[tuple[bytes, bytes]]


class Wire:
    """Translates between headers and bodies on the wire and the product's types."""

    def caller_facts(self, headers: Headers) -> CallerFacts:
        raise NotImplementedError

    def endpoint_headers(self, headers: Headers, order: EndpointOrder) -> Headers:
        """The caller's headers as an endpoint gets them, with what the gateway adds."""
        raise NotImplementedError

    def answer_facts(self, headers: Headers) -> AnswerFacts:
        raise NotImplementedError

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Headers of an answer of the gateway's own; ``retry_after`` in seconds."""
        raise NotImplementedError

    def encode_move(
        self, request_id: str, target: tuple[str, int]
    ) -> tuple[bytes, bytes, Headers, bytes]:
        """Method, target, headers and body of the call that copies a run to ``target``."""
        raise NotImplementedError

    def decode_move(self, status: int, body: bytes) -> MoveAnswer:
        raise NotImplementedError

    def encode_status_question(self) -> tuple[bytes, bytes]:
        """Method and target of the call that asks an endpoint for its state."""
        raise NotImplementedError

    def decode_status(self, status: int, body: bytes) -> EndpointStatus:
        raise NotImplementedError

    def free_copy_target(self, handle: str) -> bytes:
        """The target of the DELETE that frees a copy, sent to its source."""
        raise NotImplementedError
