"""HTTP client for the object API.

The wire format is defined by a *dialect*: ``store.dialect`` is the native one, and
``platform.objects`` that of the users' platform.

Every call has a timeout. A write whose response is lost raises :class:`StoreUnavailableError`
although it may have been applied; callers that must not repeat it read the object before retrying.

A store that was restored from a backup reports a higher era. The versions and revisions that the
client returns contain the era (:class:`~.messages.Revision`). One of an earlier era is never
sent, because the store may have assigned its number to another change since.
"""

import json

from eliot import log_message
from twisted.internet import defer

from guavacleat.http1.calls import ResponseTooLargeError
from guavacleat.partial_json import loads_partially
from guavacleat.store.dialect import NativeDialect
from guavacleat.store.messages import (
    MUST_NOT_EXIST,
    ChangesTooLargeError,
    ConflictError,
    HistoryLostError,
    Listing,
    Revision,
    StaleEraError,
    StoredObject,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = ["StoreClient", "WATCH_WAIT_SECONDS"]

CALL_TIMEOUT_SECONDS = 5.0
WATCH_WAIT_SECONDS = 10.0
HISTORY_LOST_STATUS = 410
EXPECTED_STATUSES = (200, 201, 404, 409, HISTORY_LOST_STATUS)


class StoreClient:
    """Calls the object API at ``base_url`` (``http://host:port``); counts calls and bytes.

    :param http: the HTTP client, :class:`~guavacleat.treq_http.TreqHttp` if None.
    :param dialect: the wire format of requests and responses.
    :param call_timeout: seconds until a response begins, in addition to the wait of a watch;
        ``http`` limits how long the rest may take.
    :ivar era: the highest known era of the store; None before the first response.
    :ivar era_listeners: called with each new era, before the response that carried it is returned.
    """

    def __init__(
        self, base_url: str, http=None, dialect=None, call_timeout: float = CALL_TIMEOUT_SECONDS
    ):
        self.base_url = base_url.rstrip("/")
        self.http = http or _treq_http()
        self.dialect = dialect or NativeDialect()
        self.call_timeout = call_timeout
        self.calls_by_type: dict[str, int] = {"read": 0, "write": 0, "watch": 0}
        self.era: int | None = None
        self.era_listeners: list = []
        # Size of the bodies sent and received, without headers.
        self.bytes = 0

    @defer.inlineCallbacks
    def get(self, kind: str, name: str):
        """Fire with the :class:`StoredObject`, or None if it does not exist."""
        self.calls_by_type["read"] += 1
        status, body, era = yield self._call("GET", self.dialect.object_path(kind, name))
        if status == 404:
            return None
        return _with_era(self.dialect.decode_object(kind, body), era)

    @defer.inlineCallbacks
    def put(self, kind: str, name: str, value, expected_version: int):
        """Write ``value`` if the object is at ``expected_version``; fire with the new object.

        Raises :class:`ConflictError` if it is not, :class:`StoreUnavailableError` if there is no
        response or the version is of an earlier era.
        """
        expected = Revision(expected_version)
        if expected_version != MUST_NOT_EXIST and expected.era < (self.era or 0):
            raise StaleEraError(f"{kind}/{name}: version {expected} is of an earlier era")
        self.calls_by_type["write"] += 1
        method, path, body = self.dialect.encode_put(kind, name, value, expected.number)
        status, answer, era = yield self._call(method, path, body)
        if status == 409:
            current = self.dialect.conflicting_version(answer)
            version = Revision.of(era, current) if current else MUST_NOT_EXIST
            raise ConflictError(kind, name, expected_version, version)
        return _with_era(self.dialect.decode_object(kind, answer), era)

    @defer.inlineCallbacks
    def list_objects(self, kind: str, partial_listing: Listing | None = None):
        """Fire with a :class:`WatchBatch` of every object of ``kind``.

        :param partial_listing: pages that an earlier, failed call read; reading continues there.
        """
        listing = Listing() if partial_listing is None else partial_listing
        while True:
            self.calls_by_type["read"] += 1
            path = self.dialect.list_path(kind, listing.after)
            status, body, era = yield self._call("GET", path)
            _require_ok(status, f"listing {kind}")
            page, after = self.dialect.decode_listing(kind, body)
            listing.add(_batch_with_era(page, era), after)
            if listing.after is None and listing.revision is not None:
                return WatchBatch(listing.revision, listing.objects)

    @defer.inlineCallbacks
    def instances(self):
        """Fire with the platform's list, which lags: ``{instance name: "live" or "leaving"}``."""
        self.calls_by_type["read"] += 1
        _, body, _ = yield self._call("GET", "/v1/instances")
        return body["instances"]

    @defer.inlineCallbacks
    def watch(
        self,
        kind: str,
        since: int,
        wait: float = WATCH_WAIT_SECONDS,
        max_body_bytes: int | None = None,
    ):
        """Fire with a :class:`WatchBatch` of writes to ``kind`` after revision ``since``.

        Raises :class:`HistoryLostError` if the store no longer holds the writes after ``since`` or
        was restored from a backup meanwhile; :class:`ChangesTooLargeError` if they are larger than
        ``max_body_bytes``.
        """
        since = Revision(since)
        if since.era < (self.era or 0):
            raise HistoryLostError(kind, since)
        self.calls_by_type["watch"] += 1
        path = self.dialect.watch_path(kind, since.number, wait)
        timeout = wait + self.call_timeout
        try:
            status, body, era = yield self._call(
                "GET", path, timeout=timeout, max_body_bytes=max_body_bytes
            )
        except ResponseTooLargeError as exc:
            raise ChangesTooLargeError(kind, since) from exc
        if status == HISTORY_LOST_STATUS or era > since.era:
            raise HistoryLostError(kind, since)
        _require_ok(status, f"watching {kind}")
        return _batch_with_era(self.dialect.decode_changes(kind, body), era)

    def observe_era(self, era: int) -> None:
        """Record an era that a response or a peer reported; notify the listeners if it is new."""
        if self.era is None or era <= self.era:
            self.era = era if self.era is None else self.era
            return
        log_message(message_type="store:restored", era=era, before=self.era)
        self.era = era
        for listener in self.era_listeners:
            listener(era)

    def _check_era(self, response) -> int:
        """Return the era of a response; raise StaleEraError if a later one is known."""
        text = _header(response, self.dialect.era_header)
        try:
            era = int(text) if text is not None else (self.era or 0)
        except ValueError:
            raise StoreUnavailableError(f"{text!r} is not a valid era") from None
        self.observe_era(era)
        if era < self.era:
            raise StaleEraError(f"the response is of era {era}, the store is in era {self.era}")
        return era

    @defer.inlineCallbacks
    def _call(
        self,
        method: str,
        path: str,
        body=None,
        timeout: float | None = None,
        max_body_bytes: int | None = None,
    ):
        data = None if body is None else json.dumps(body).encode()
        # Passed only if set: the treq client does not support it.
        limit = {} if max_body_bytes is None else {"max_body_bytes": max_body_bytes}
        try:
            response = yield self.http.request(
                method,
                self.base_url + path,
                data=data,
                timeout=timeout or self.call_timeout,
                **limit,
            )
            self._check_era(response)
            content = yield response.content()
            self.bytes += len(data or b"") + len(content)
        except StoreUnavailableError:
            raise
        except ResponseTooLargeError as exc:
            if max_body_bytes is not None:
                raise
            raise StoreUnavailableError(f"{method} {path}: {exc}") from exc
        except Exception as exc:  # noqa: BLE001 - every transport failure means "no response"
            detail = f"{exc.__class__.__name__}: {exc}"
            raise StoreUnavailableError(f"{method} {path}: {detail}") from exc
        if response.code not in EXPECTED_STATUSES:
            raise StoreUnavailableError(f"{method} {path}: status {response.code}")
        # Checked again: another response may have reported a later era while the body arrived.
        era = self._check_era(response)
        try:
            # An invalid part of one object must not make all others unreadable.
            return response.code, loads_partially(content.decode("utf-8", "replace")), era
        except ValueError as exc:
            # An invalid response does not show whether a write was applied. An exception of another
            # type would end the caller's watch or lease loop.
            raise StoreUnavailableError(f"{method} {path}: the response is not JSON") from exc


def _with_era(stored: StoredObject, era: int) -> StoredObject:
    stored.version = Revision.of(era, stored.version)
    stored.revision = Revision.of(era, stored.revision)
    return stored


def _batch_with_era(batch: WatchBatch, era: int) -> WatchBatch:
    objects = [_with_era(stored, era) for stored in batch.objects]
    return WatchBatch(Revision.of(era, batch.revision), objects)


def _header(response, name: str) -> str | None:
    """A header of a response of the built-in HTTP client or of treq."""
    if hasattr(response, "header"):
        return response.header(name)
    values = response.headers.getRawHeaders(name) if hasattr(response, "headers") else None
    return values[0] if values else None


def _require_ok(status: int, operation: str) -> None:
    if status != 200:
        raise StoreUnavailableError(f"{operation}: status {status}")


def _treq_http():
    """Import treq only if it is used, to save its memory."""
    from guavacleat.treq_http import TreqHttp

    return TreqHttp()
