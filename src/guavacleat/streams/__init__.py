"""Relay of a generation's tokens from an endpoint to the caller, with resumption by cursor."""

from guavacleat.streams.messages import CompletionRequest, StreamMismatchError
from guavacleat.streams.relay import Relay

__all__ = ["CompletionRequest", "Relay", "StreamMismatchError"]
