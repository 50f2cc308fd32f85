"""What the forwarding needs to know of the names on the wire; an adapter implements it."""

from guavacleat.forwarding.messages import (
    EndpointStatus,
    ForwardingMetadata,
    MoveResponse,
    RequestMetadata,
    ResponseMetadata,
)

__all__ = ["Headers", "Wire"]

Headers = list[tuple[bytes, bytes]]


class Wire:
    """Translates between headers and bodies on the wire and the product's types."""

    def parse_request_metadata(self, headers: Headers) -> RequestMetadata:
        raise NotImplementedError

    def endpoint_headers(self, headers: Headers, metadata: ForwardingMetadata) -> Headers:
        """The caller's headers as an endpoint gets them, with what the gateway adds."""
        raise NotImplementedError

    def parse_response_metadata(self, headers: Headers) -> ResponseMetadata:
        raise NotImplementedError

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Headers of an answer of the gateway's own; ``retry_after`` in seconds."""
        raise NotImplementedError

    def encode_move(
        self, request_id: str, target: tuple[str, int]
    ) -> tuple[bytes, bytes, Headers, bytes]:
        """Method, target, headers and body of the call that copies a run to ``target``."""
        raise NotImplementedError

    def decode_move(self, status: int, body: bytes) -> MoveResponse:
        raise NotImplementedError

    def encode_status_request(self) -> tuple[bytes, bytes]:
        """Method and target of the call that asks an endpoint for its state."""
        raise NotImplementedError

    def decode_status(self, status: int, body: bytes) -> EndpointStatus:
        raise NotImplementedError

    def free_copy_target(self, handle: str) -> bytes:
        """The target of the DELETE that frees a copy, sent to its source."""
        raise NotImplementedError
