"""Implements the forwarding package's wire interface for the platform."""

from guavacleat.forwarding.wire import Wire
from guavacleat.platform import engines, headers

__all__ = ["PlatformWire"]


class PlatformWire(Wire):
    """See :class:`~guavacleat.forwarding.wire.Wire` for each method."""

    parse_request_metadata = staticmethod(headers.parse_request_metadata)
    endpoint_headers = staticmethod(headers.endpoint_headers)
    parse_response_metadata = staticmethod(headers.parse_response_metadata)
    refusal_headers = staticmethod(headers.refusal_headers)
    encode_move = staticmethod(engines.encode_move)
    decode_move = staticmethod(engines.decode_move)
    free_copy_path = staticmethod(engines.free_copy_path)
    decode_status = staticmethod(engines.decode_status)

    def encode_status_request(self):
        return engines.STATUS_REQUEST
