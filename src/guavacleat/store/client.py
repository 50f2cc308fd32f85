"""HTTP client for the object API, on treq.

Every call has a timeout. A write whose answer is lost raises :class:`StoreUnavailableError` even
though it may have taken effect; callers that must not repeat it read back before retrying.
"""

import json

import treq
from twisted.internet import defer

from guavacleat.store.messages import (
    ConflictError,
    HistoryLostError,
    StoredObject,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = ["StoreClient"]

CALL_TIMEOUT = 5.0
WATCH_WAIT = 10.0
HISTORY_LOST = 410
EXPECTED_STATUSES = (200, 404, 409, HISTORY_LOST)


class StoreClient:
    """Calls the object API at ``base_url`` (``http://host:port``); counts calls and bytes."""

    def __init__(self, base_url: str, http=treq):
        self.base_url = base_url.rstrip("/")
        self.http = http
        self.calls_by_type: dict[str, int] = {"read": 0, "write": 0, "watch": 0}
        # Bodies sent and received, without headers.
        self.bytes = 0

    @defer.inlineCallbacks
    def get(self, kind: str, name: str):
        """Fire with the :class:`StoredObject`, or None if it does not exist."""
        self.calls_by_type["read"] += 1
        status, body = yield self._call("GET", f"/v1/objects/{kind}/{name}")
        if status == 404:
            return None
        return StoredObject.from_json(body)

    @defer.inlineCallbacks
    def put(self, kind: str, name: str, value, expected_version: int):
        """Write ``value`` if the object is at ``expected_version``; fire with the new object.

        Raises :class:`ConflictError` if it is not, :class:`StoreUnavailableError` if no answer
        came.
        """
        self.calls_by_type["write"] += 1
        body = {"value": value, "expected_version": expected_version}
        status, answer = yield self._call("PUT", f"/v1/objects/{kind}/{name}", body)
        if status == 409:
            raise ConflictError(kind, name, expected_version, answer["current_version"])
        return StoredObject.from_json(answer)

    @defer.inlineCallbacks
    def list_objects(self, kind: str):
        """Fire with a :class:`WatchBatch` of every object of ``kind``."""
        self.calls_by_type["read"] += 1
        _, body = yield self._call("GET", f"/v1/objects/{kind}")
        return _batch(body)

    @defer.inlineCallbacks
    def instances(self):
        """Fire with the platform's lagging list: ``{instance name: "live" or "leaving"}``."""
        self.calls_by_type["read"] += 1
        _, body = yield self._call("GET", "/v1/instances")
        return body["instances"]

    @defer.inlineCallbacks
    def watch(self, kind: str, since: int, wait: float = WATCH_WAIT):
        """Fire with a :class:`WatchBatch` of writes to ``kind`` after revision ``since``.

        Raises :class:`HistoryLostError` if the store no longer knows the writes after ``since``.
        """
        self.calls_by_type["watch"] += 1
        path = f"/v1/watch/{kind}?since={since}&wait={wait}"
        status, body = yield self._call("GET", path, timeout=wait + CALL_TIMEOUT)
        if status == HISTORY_LOST:
            raise HistoryLostError(kind, since)
        return _batch(body)

    @defer.inlineCallbacks
    def _call(self, method: str, path: str, body=None, timeout: float = CALL_TIMEOUT):
        data = None if body is None else json.dumps(body).encode()
        try:
            response = yield self.http.request(
                method, self.base_url + path, data=data, timeout=timeout
            )
            content = yield response.content()
            self.bytes += len(data or b"") + len(content)
        except Exception as exc:  # noqa: BLE001 - every transport failure means "no answer"
            raise StoreUnavailableError(f"{method} {path}: {exc.__class__.__name__}") from exc
        if response.code not in EXPECTED_STATUSES:
            raise StoreUnavailableError(f"{method} {path}: status {response.code}")
        try:
            return response.code, json.loads(content)
        except ValueError as exc:
            # A garbled answer tells nothing about the write; left to escape, it would end the
            # watch or lease loop that made the call.
            raise StoreUnavailableError(f"{method} {path}: the answer is not JSON") from exc


def _batch(body: dict) -> WatchBatch:
    return WatchBatch(body["revision"], [StoredObject.from_json(obj) for obj in body["objects"]])
