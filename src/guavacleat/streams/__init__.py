"""Relaying one generation from an endpoint to a caller, token by token, by cursor."""

from guavacleat.streams.messages import CompletionRequest, StreamMixupError
from guavacleat.streams.relay import Relay

__all__ = ["CompletionRequest", "Relay", "StreamMixupError"]
