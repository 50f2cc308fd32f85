"""Stand-in for the platform's store, with revisions, paging, watches and faults."""

import json
from urllib.parse import parse_qs, urlsplit

from twisted.internet import defer, task

PAGE_SIZE = 3


class Reply:
    def __init__(self, code, body, era=0):
        self.code = code
        self.body = body
        self.era = era

    def header(self, name):
        return str(self.era) if name == "store-era" else None

    def content(self):
        return defer.succeed(self.body)


class StoreStandin:
    """The store and an HTTP client for it, with the part of treq's interface that is used.

    :ivar fault: fault of the next calls: ``None``, ``"busy"`` (429), ``"down"`` (503), ``"lost"``
        (applied, but no response), ``"silent"`` (not applied, no response), ``"garbled"``, or
        ``"slow"`` (applied, with a response after ``delay`` seconds or a timeout).
    """

    def __init__(self, clock=None):
        self.clock = clock
        self.delay = 0.0
        self.era = 0
        self.backup = (0, {})
        self.revision = 0
        self.compacted_revision = 0
        self.objects = {}
        self.history = []
        self.fault = None
        self.calls = []
        self.pending_watches = []
        # JSON texts of specs that Python can't encode, by the string that stands for them.
        self.texts_by_spec = {}

    def write_text(self, kind, name, text):
        """Write an object whose spec is the JSON ``text``."""
        spec = f"text {len(self.texts_by_spec)}"
        self.texts_by_spec[spec] = text
        self.write(kind, name, spec)

    def write(self, kind, name, spec):
        """Write an object as another client."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("metadata", {}).get("createdAt")
        self.objects[kind, name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdAt": created or self.revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._record_change(kind, name, False)

    def delete(self, kind, name):
        self.revision += 1
        self.objects[kind, name]["metadata"]["revision"] = self.revision
        self._record_change(kind, name, True)
        del self.objects[kind, name]

    def compact_history(self):
        """Discard the history, so that watches of earlier revisions fail with 410."""
        self.compacted_revision = self.revision

    def copy(self):
        """Make a backup of all objects."""
        self.backup = (self.revision, json.dumps(list(self.objects.items())))

    def restore(self):
        """Restore the backup with its revisions; pending watches fail."""
        self.era += 1
        self.revision, objects = self.backup
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.objects = {tuple(key): value for key, value in json.loads(objects)}
        self.history = [change for change in self.history if change[0] <= self.revision]
        pending_watches, self.pending_watches = self.pending_watches, []
        for _, _, waiter in pending_watches:
            waiter.errback(ConnectionError("cut off"))

    def _record_change(self, kind, name, deleted):
        event = {"object": json.loads(json.dumps(self.objects[kind, name])), "tombstone": deleted}
        self.history.append((self.revision, kind, event))
        pending_watches, self.pending_watches = self.pending_watches, []
        for kind, since, waiter in pending_watches:
            waiter.callback(self._changes(kind, since))

    def request(self, method, url, data=None, timeout=None, max_body_bytes=None):
        del max_body_bytes
        self.calls.append((method, url))
        if self.fault == "busy":
            return defer.succeed(Reply(429, b"{}"))
        if self.fault == "down":
            return defer.succeed(Reply(503, b"{}"))
        if self.fault == "silent":
            return defer.fail(TimeoutError())
        if self.fault == "garbled":
            return defer.succeed(Reply(200, b"<html>"))
        response = self._handle(method, url, data)
        if self.fault == "lost":
            return defer.fail(ConnectionError("no answer"))
        if self.fault == "slow":
            return self._delayed(response, timeout)
        return response

    def _delayed(self, response, timeout):
        if timeout is not None and self.delay >= timeout:
            return task.deferLater(self.clock, timeout, self._time_out)
        return task.deferLater(self.clock, self.delay, lambda: response)

    @staticmethod
    def _time_out():
        raise TimeoutError

    def _handle(self, method, url, data):
        parts = urlsplit(url)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = parts.path.removeprefix("/-/objects/").split("/")
        if method in ("POST", "PUT"):
            return defer.succeed(self._write(method, names, json.loads(data)))
        if len(names) == 2:
            stored = self.objects.get(tuple(names))
            return defer.succeed(self._reply(200 if stored else 404, stored or {}))
        if "watch" in query:
            return self._watch(names[0], int(query["watch"]))
        return defer.succeed(self._list(names[0], query.get("after", "")))

    def _write(self, method, names, body):
        kind, name = names[0], body["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST" and stored:
            return self._reply(409, stored)
        if method == "PUT" and body["metadata"]["revision"] != stored["metadata"]["revision"]:
            return self._reply(409, stored)
        self.write(kind, name, body["spec"])
        return self._reply(200, self.objects[kind, name])

    def _watch(self, kind, since):
        if since < self.compacted_revision or since > self.revision:
            return defer.succeed(self._reply(410, {}))
        if self._events(kind, since):
            return defer.succeed(self._changes(kind, since))
        waiter = defer.Deferred()
        self.pending_watches.append((kind, since, waiter))
        return waiter

    def _events(self, kind, since):
        return [
            event
            for event_revision, event_kind, event in self.history
            if event_revision > since and event_kind == kind
        ]

    def _changes(self, kind, since):
        events = self._events(kind, since)
        return self._reply(200, {"events": events, "storeRevision": self.revision})

    def _list(self, kind, after):
        names = sorted(
            name for object_kind, name in self.objects if object_kind == kind and name > after
        )
        items = [self.objects[kind, name] for name in names[:PAGE_SIZE]]
        more = len(names) > PAGE_SIZE
        return self._reply(200, {"items": items, "hasMore": more, "storeRevision": self.revision})

    def _reply(self, code, body):
        text = json.dumps(body)
        for spec, spec_text in self.texts_by_spec.items():
            text = text.replace(json.dumps(spec), spec_text)
        return Reply(code, text.encode(), self.era)
