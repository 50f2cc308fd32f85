"""SSE client for completions, used by the demo and the load tool."""

from guavacleat.load.client import CompletionResult, stream_completion

__all__ = ["CompletionResult", "stream_completion"]
