"""Stand-in for the platform's store: objects with revisions, paging, watches, faults."""

import json
from urllib.parse import parse_qs, urlsplit

from twisted.internet import defer, task

PAGE = 3


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
    """Answers like treq's ``request``.

    :param fault: what the next calls meet: ``None``, ``"busy"`` (429), ``"down"`` (503),
        ``"lost"`` (done, then no answer), ``"silent"`` (no answer), ``"garbled"``, ``"slow"``
        (done, and answered ``delay`` seconds later by ``clock``, unless the caller gave up).
    """

    def __init__(self, clock=None):
        self.clock = clock
        self.delay = 0.0
        self.era = 0
        self.copied = (0, {})
        self.revision = 0
        self.forgotten = 0
        self.objects = {}
        self.history = []
        self.fault = None
        self.calls = []
        self.waiting = []

    def write(self, kind, name, spec):
        """A change by somebody else."""
        self.revision += 1
        made = self.objects.get((kind, name), {}).get("metadata", {}).get("createdAt")
        self.objects[kind, name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdAt": made or self.revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._note(kind, name, False)

    def delete(self, kind, name):
        self.revision += 1
        self.objects[kind, name]["metadata"]["revision"] = self.revision
        self._note(kind, name, True)
        del self.objects[kind, name]

    def forget(self):
        """Drop the history."""
        self.forgotten = self.revision

    def copy(self):
        """Keep a copy of all objects."""
        self.copied = (self.revision, json.dumps(list(self.objects.items())))

    def restore(self):
        """Come back from the copy, with its revisions; watches that wait are cut off."""
        self.era += 1
        self.revision, objects = self.copied
        self.objects = {tuple(key): value for key, value in json.loads(objects)}
        self.history = [change for change in self.history if change[0] <= self.revision]
        waiting, self.waiting = self.waiting, []
        for _, _, answer in waiting:
            answer.errback(ConnectionError("cut off"))

    def _note(self, kind, name, gone):
        event = {"object": json.loads(json.dumps(self.objects[kind, name])), "tombstone": gone}
        self.history.append((self.revision, kind, event))
        waiting, self.waiting = self.waiting, []
        for kind, since, answer in waiting:
            answer.callback(self._changes(kind, since))

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
        answer = self._handle(method, url, data)
        if self.fault == "lost":
            return defer.fail(ConnectionError("no answer"))
        if self.fault == "slow":
            return self._late(answer, timeout)
        return answer

    def _late(self, answer, timeout):
        if timeout is not None and self.delay >= timeout:
            return task.deferLater(self.clock, timeout, self._give_up)
        return task.deferLater(self.clock, self.delay, lambda: answer)

    @staticmethod
    def _give_up():
        raise TimeoutError

    def _handle(self, method, url, data):
        parts = urlsplit(url)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = parts.path.removeprefix("/-/objects/").split("/")
        if method in ("POST", "PUT"):
            return defer.succeed(self._write(method, names, json.loads(data)))
        if len(names) == 2:
            found = self.objects.get(tuple(names))
            return defer.succeed(self._reply(200 if found else 404, found or {}))
        if "watch" in query:
            return self._watch(names[0], int(query["watch"]))
        return defer.succeed(self._list(names[0], query.get("after", "")))

    def _write(self, method, names, body):
        kind, name = names[0], body["metadata"]["name"]
        found = self.objects.get((kind, name))
        if method == "POST" and found:
            return self._reply(409, found)
        if method == "PUT" and body["metadata"]["revision"] != found["metadata"]["revision"]:
            return self._reply(409, found)
        self.write(kind, name, body["spec"])
        return self._reply(200, self.objects[kind, name])

    def _watch(self, kind, since):
        if since < self.forgotten or since > self.revision:
            return defer.succeed(self._reply(410, {}))
        answer = self._changes(kind, since)
        if json.loads(answer.body)["events"]:
            return defer.succeed(answer)
        waiter = defer.Deferred()
        self.waiting.append((kind, since, waiter))
        return waiter

    def _changes(self, kind, since):
        events = [event for at, of, event in self.history if at > since and of == kind]
        return self._reply(200, {"events": events, "storeRevision": self.revision})

    def _list(self, kind, after):
        names = sorted(name for of, name in self.objects if of == kind and name > after)
        items = [self.objects[kind, name] for name in names[:PAGE]]
        more = len(names) > PAGE
        return self._reply(200, {"items": items, "hasMore": more, "storeRevision": self.revision})

    def _reply(self, code, body):
        return Reply(code, json.dumps(body).encode(), self.era)
