"""Interface of the wire format: header names and request bodies. Adapters implement it."""

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
    """Converts between the wire format and the types in :mod:`guavacleat.forwarding.messages`."""

    def parse_request_metadata(self, headers: Headers) -> RequestMetadata:
        raise NotImplementedError

    def endpoint_headers(self, headers: Headers, metadata: ForwardingMetadata) -> Headers:
        """Return the caller's headers with those that the gateway sets for an endpoint."""
        raise NotImplementedError

    def parse_response_metadata(self, status: int, headers: Headers) -> ResponseMetadata:
        raise NotImplementedError

    def refusal_headers(self, request_id: str, retry_after: float | None) -> Headers:
        """Headers of an error response from the gateway; ``retry_after`` in seconds."""
        raise NotImplementedError

    def encode_move(
        self, request_id: str, target: tuple[str, int], stop: bool = False
    ) -> tuple[bytes, bytes, Headers, bytes]:
        """Method, target, headers and body of the call that copies a run to ``target``.

        :param stop: whether the run stops before it is copied.
        """
        raise NotImplementedError

    def decode_move(self, status: int, body: bytes) -> MoveResponse:
        raise NotImplementedError

    def encode_status_request(self) -> tuple[bytes, bytes]:
        """Method and target of the endpoint status request."""
        raise NotImplementedError

    def decode_status(self, status: int, body: bytes) -> EndpointStatus:
        raise NotImplementedError

    def free_copy_path(self, handle: str) -> bytes:
        """Target of the DELETE request that frees a copy, sent to the copy's source."""
        raise NotImplementedError
