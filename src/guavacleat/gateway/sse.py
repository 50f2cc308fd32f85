"""Writes server-sent events to a Twisted request, one JSON object per event."""

import json

__all__ = ["SseSink", "DONE"]

DONE = b"data: [DONE]\n\n"


class SseSink:
    """Writes tokens to a caller as SSE until the caller disconnects.

    Headers are sent with the first event, so that a request refused earlier can still get its own
    status code.
    """

    def __init__(self, request, completion):
        self.request = request
        self.completion = completion
        self.disconnected = False
        self.tokens_sent = 0
        request.notifyFinish().addErrback(self._caller_disconnected)

    def set_handle(self, handle: str) -> None:
        """Send the handle to resume with; it changes if the stream migrates."""
        self._write({"stream": handle})

    def token(self, index: int, text: str) -> None:
        self._write({"index": index, "text": text})
        self.tokens_sent += 1

    def end(self, reason: str) -> None:
        self._write({"finish_reason": reason, "tokens": self.tokens_sent})
        if not self.disconnected:
            self.request.write(DONE)

    def error(self, kind: str, message: str, retry_after: float | None = None) -> None:
        body = {"error": {"type": kind, "message": message}}
        if retry_after is not None:
            body["error"]["retry_after"] = retry_after
        self._write(body)

    def _write(self, body: dict) -> None:
        if not self.disconnected:
            if not self.request.startedWriting:
                self.request.setHeader("content-type", "text/event-stream")
                self.request.setHeader("cache-control", "no-cache")
            self.request.write(b"data: " + json.dumps(body).encode() + b"\n\n")

    def _caller_disconnected(self, _failure) -> None:
        self.disconnected = True
        self.completion.caller_disconnected = True
