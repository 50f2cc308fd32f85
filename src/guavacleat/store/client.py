"""HTTP client for the object API.

One client serves both forms of the API: what a call looks like on the wire is a *dialect* (see
``store.dialect`` for the product's own and ``platform.objects`` for the users' platform).

Every call has a timeout. A write whose answer is lost raises :class:`StoreUnavailableError` even
though it may have taken effect; callers that must not repeat it read back before retrying.

A store that comes back from an older copy says so by a higher era in its answers. Versions and
revisions that the client hands out hold the era (:class:`~.messages.Revision`); one of a former era
is never sent, as its number may have been given to another change since.
"""

import json

from eliot import log_message
from twisted.internet import defer

from guavacleat.http1.calls import AnswerTooLargeError
from guavacleat.store.dialect import NativeDialect
from guavacleat.store.messages import (
    MUST_NOT_EXIST,
    ChangesTooLargeError,
    ConflictError,
    FormerEraError,
    HistoryLostError,
    Listing,
    Revision,
    StoredObject,
    StoreUnavailableError,
    WatchBatch,
)

__all__ = ["StoreClient", "WATCH_WAIT"]

CALL_TIMEOUT = 5.0
WATCH_WAIT = 10.0
HISTORY_LOST = 410
EXPECTED_STATUSES = (200, 201, 404, 409, HISTORY_LOST)


class StoreClient:
    """Calls the object API at ``base_url`` (``http://host:port``); counts calls and bytes.

    :param http: what makes the calls, :class:`~guavacleat.treq_http.TreqHttp` if None.
    :param dialect: what calls and answers look like.
    :param call_timeout: seconds until an answer begins, beyond a watch's wait; how long it may then
        take is ``http``'s to say.
    :ivar era: the latest era of the store that is known; None before the first answer.
    :ivar era_listeners: called with each later era, before the answer that told it is handed out.
    """

    def __init__(self, base_url: str, http=None, dialect=None, call_timeout: float = CALL_TIMEOUT):
        self.base_url = base_url.rstrip("/")
        self.http = http or _treq_http()
        self.dialect = dialect or NativeDialect()
        self.call_timeout = call_timeout
        self.calls_by_type: dict[str, int] = {"read": 0, "write": 0, "watch": 0}
        self.era: int | None = None
        self.era_listeners: list = []
        # Bodies sent and received, without headers.
        self.bytes = 0

    @defer.inlineCallbacks
    def get(self, kind: str, name: str):
        """Fire with the :class:`StoredObject`, or None if it does not exist."""
        self.calls_by_type["read"] += 1
        status, body, era = yield self._call("GET", self.dialect.object_path(kind, name))
        if status == 404:
            return None
        return _of_era(self.dialect.decode_object(kind, body), era)

    @defer.inlineCallbacks
    def put(self, kind: str, name: str, value, expected_version: int):
        """Write ``value`` if the object is at ``expected_version``; fire with the new object.

        Raises :class:`ConflictError` if it is not, :class:`StoreUnavailableError` if no answer
        came or the version is of a former era.
        """
        expected = Revision(expected_version)
        if expected_version != MUST_NOT_EXIST and expected.era < (self.era or 0):
            raise FormerEraError(f"{kind}/{name}: version {expected} is of a former era")
        self.calls_by_type["write"] += 1
        method, path, body = self.dialect.encode_put(kind, name, value, expected.number)
        status, answer, era = yield self._call(method, path, body)
        if status == 409:
            current = self.dialect.conflicting_version(answer)
            version = Revision.of(era, current) if current else MUST_NOT_EXIST
            raise ConflictError(kind, name, expected_version, version)
        return _of_era(self.dialect.decode_object(kind, answer), era)

    @defer.inlineCallbacks
    def list_objects(self, kind: str, partial_listing: Listing | None = None):
        """Fire with a :class:`WatchBatch` of every object of ``kind``.

        :param partial_listing: the pages that an earlier, failed call read; continues after them.
        """
        listing = Listing() if partial_listing is None else partial_listing
        while True:
            self.calls_by_type["read"] += 1
            path = self.dialect.list_path(kind, listing.after)
            status, body, era = yield self._call("GET", path)
            _require_found(status, f"listing {kind}")
            page, after = self.dialect.decode_listing(kind, body)
            listing.add(_batch_of_era(page, era), after)
            if listing.after is None and listing.revision is not None:
                return WatchBatch(listing.revision, listing.objects)

    @defer.inlineCallbacks
    def instances(self):
        """Fire with the platform's lagging list: ``{instance name: "live" or "leaving"}``."""
        self.calls_by_type["read"] += 1
        _, body, _ = yield self._call("GET", "/v1/instances")
        return body["instances"]

    @defer.inlineCallbacks
    def watch(self, kind: str, since: int, wait: float = WATCH_WAIT, most_bytes: int | None = None):
        """Fire with a :class:`WatchBatch` of writes to ``kind`` after revision ``since``.

        Raises :class:`HistoryLostError` if the store no longer knows the writes after ``since``, or
        came back from a copy since; :class:`ChangesTooLargeError` if they are larger than
        ``most_bytes``.
        """
        since = Revision(since)
        if since.era < (self.era or 0):
            raise HistoryLostError(kind, since)
        self.calls_by_type["watch"] += 1
        path = self.dialect.watch_path(kind, since.number, wait)
        timeout = wait + self.call_timeout
        try:
            status, body, era = yield self._call(
                "GET", path, timeout=timeout, most_bytes=most_bytes
            )
        except AnswerTooLargeError as exc:
            raise ChangesTooLargeError(kind, since) from exc
        if status == HISTORY_LOST or era > since.era:
            raise HistoryLostError(kind, since)
        _require_found(status, f"watching {kind}")
        return _batch_of_era(self.dialect.decode_changes(kind, body), era)

    def observe_era(self, era: int) -> None:
        """Take in an era that an answer or a peer told."""
        if self.era is None or era <= self.era:
            self.era = era if self.era is None else self.era
            return
        log_message(message_type="store:restored", era=era, before=self.era)
        self.era = era
        for listener in self.era_listeners:
            listener(era)

    def _check_era(self, response) -> int:
        """The era of an answer; raise FormerEraError if a later one is known."""
        text = _header(response, self.dialect.era_header)
        try:
            era = int(text) if text is not None else (self.era or 0)
        except ValueError:
            raise StoreUnavailableError(f"{text!r} is no era") from None
        self.observe_era(era)
        if era < self.era:
            raise FormerEraError(f"the answer is of era {era}, the store in {self.era}")
        return era

    @defer.inlineCallbacks
    def _call(
        self,
        method: str,
        path: str,
        body=None,
        timeout: float | None = None,
        most_bytes: int | None = None,
    ):
        data = None if body is None else json.dumps(body).encode()
        # Said only where it is wanted: treq has no such bound.
        bound = {} if most_bytes is None else {"most_bytes": most_bytes}
        try:
            response = yield self.http.request(
                method,
                self.base_url + path,
                data=data,
                timeout=timeout or self.call_timeout,
                **bound,
            )
            self._check_era(response)
            content = yield response.content()
            self.bytes += len(data or b"") + len(content)
        except (AnswerTooLargeError, StoreUnavailableError):
            raise
        except Exception as exc:  # noqa: BLE001 - every transport failure means "no answer"
            detail = f"{exc.__class__.__name__}: {exc}"
            raise StoreUnavailableError(f"{method} {path}: {detail}") from exc
        if response.code not in EXPECTED_STATUSES:
            raise StoreUnavailableError(f"{method} {path}: status {response.code}")
        # Another answer may have told a later era while this one arrived.
        era = self._check_era(response)
        try:
            # Bytes that are no text, in one object, must not hide all others.
            return response.code, json.loads(content.decode("utf-8", "replace")), era
        except (ValueError, RecursionError) as exc:
            # A garbled answer tells nothing about the write; left to escape, it would end the
            # watch or lease loop that made the call.
            raise StoreUnavailableError(f"{method} {path}: the answer is not JSON") from exc


def _of_era(stored: StoredObject, era: int) -> StoredObject:
    stored.version = Revision.of(era, stored.version)
    stored.revision = Revision.of(era, stored.revision)
    return stored


def _batch_of_era(batch: WatchBatch, era: int) -> WatchBatch:
    objects = [_of_era(stored, era) for stored in batch.objects]
    return WatchBatch(Revision.of(era, batch.revision), objects)


def _header(response, name: str) -> str | None:
    """A header of an answer of this product's own client, or of treq's."""
    if hasattr(response, "header"):
        return response.header(name)
    values = response.headers.getRawHeaders(name) if hasattr(response, "headers") else None
    return values[0] if values else None


def _require_found(status: int, what: str) -> None:
    if status != 200:
        raise StoreUnavailableError(f"{what}: status {status}")


def _treq_http():
    """Import treq only where it is used: it takes some 9 MB of a process's memory."""
    from guavacleat.treq_http import TreqHttp

    return TreqHttp()
