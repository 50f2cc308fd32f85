"""Stand-in for the platform's object API, over HTTP, with injectable faults.

Routes (JSON bodies):

- ``GET /v1/objects/<kind>/<name>``: 200 with a stored object, 404 if absent.
- ``GET /v1/objects/<kind>``: 200 with ``{"revision": R, "objects": [...]}``.
- ``PUT /v1/objects/<kind>/<name>`` with ``{"value": V, "expected_version": N}``: 200 with the
  new object, or 409 with ``{"current_version": M}``. ``N`` = 0 asks that it not exist.
- ``GET /v1/watch/<kind>?since=R&wait=S``: waits up to S seconds for writes after revision R.
  410 if the history after R has been forgotten.
- ``GET /v1/instances``: the platform's lagging list; ``POST /v1/instances`` with
  ``{"name", "state"}`` changes it (state ``live``, ``leaving`` or null).
- ``POST /v1/faults`` with ``{"outage": bool, "delay": s, "lose_acks": n, "forget": bool}``.
- ``POST /v1/copy`` keeps a copy of all objects; ``POST /v1/restore`` comes back from it.
- ``GET /v1/stats``: calls counted by type.

The header ``Store-Era`` in each answer counts the restores. A restore takes back what was written
since the copy, with its revisions, which are given out again; a watch from a revision that the
store does not have gets 410.

Faults: an outage answers 503; a delay holds each answer; a lost acknowledgement applies the
write and then drops the connection without answering, as the brief says the platform may;
``forget`` makes the store forget the history of writes up to now.
"""

import itertools
import json

from klein import Klein
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.standin.instances import InstanceList
from guavacleat.store.messages import MUST_NOT_EXIST, StoredObject
from guavacleat.web import json_response

__all__ = ["StoreApp", "StoreState", "restore_at_intervals"]

MAX_WATCH_WAIT = 30.0


class Faults:
    """Faults the stand-in injects until told otherwise."""

    __slots__ = ("outage", "delay", "lose_acks")

    def __init__(self):
        self.outage = False
        self.delay = 0.0
        self.lose_acks = 0


class StoreState:
    """The objects and the store-wide revision; watchers are woken on each write.

    :ivar era: how often it came back from a copy.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.era = 0
        self.copied: tuple[int, dict] = (0, {})
        self.revision = 0
        self.compacted_revision = 0
        self.objects_by_key: dict[tuple[str, str], StoredObject] = {}
        self.watchers_by_kind: dict[str, list[defer.Deferred]] = {}
        self.calls_by_type: dict[str, int] = {"read": 0, "write": 0, "watch": 0}

    def copy(self) -> None:
        """Keep a copy, instead of the one before."""
        self.copied = (self.revision, dict(self.objects_by_key))

    def restore(self) -> None:
        """Come back from the copy; watches that wait are answered with nothing new."""
        self.era += 1
        self.revision, objects = self.copied
        self.objects_by_key = dict(objects)
        waiting, self.watchers_by_kind = self.watchers_by_kind, {}
        for waiter in itertools.chain.from_iterable(waiting.values()):
            waiter.callback(None)

    def get(self, kind: str, name: str) -> StoredObject | None:
        return self.objects_by_key.get((kind, name))

    def list_objects(self, kind: str) -> list[StoredObject]:
        return sorted(
            (obj for (k, _), obj in self.objects_by_key.items() if k == kind),
            key=lambda obj: obj.revision,
        )

    def put(self, kind: str, name: str, value, expected_version: int) -> StoredObject | int:
        """Apply a conditional write; return the new object or the current version on conflict."""
        current = self.get(kind, name)
        current_version = current.version if current else MUST_NOT_EXIST
        if current_version != expected_version:
            return current_version
        self.revision += 1
        stored = StoredObject(kind, name, current_version + 1, self.revision, value)
        self.objects_by_key[(kind, name)] = stored
        for waiter in self.watchers_by_kind.pop(kind, []):
            waiter.callback(None)
        return stored

    def changes(self, kind: str, since: int) -> list[StoredObject]:
        return [obj for obj in self.list_objects(kind) if obj.revision > since]

    def wait_for_change(self, kind: str, since: int, wait: float) -> defer.Deferred:
        """Fire with the changes after ``since`` as soon as there are any, or after ``wait``."""
        found = self.changes(kind, since)
        if found or wait <= 0:
            return defer.succeed(found)
        waiter = defer.Deferred()
        self.watchers_by_kind.setdefault(kind, []).append(waiter)
        timer = self.clock.callLater(min(wait, MAX_WATCH_WAIT), _fire_once, waiter)
        waiter.addCallback(lambda _: _cancel_timer(timer))
        waiter.addCallback(lambda _: self.changes(kind, since))
        return waiter


def restore_at_intervals(clock: IReactorTime, state: StoreState, seconds: float) -> None:
    """Let the store come back from a copy again and again; each loses the last half interval."""

    def restore():
        state.restore()
        keep_copy()

    def keep_copy():
        clock.callLater(seconds / 2, state.copy)
        clock.callLater(seconds, restore)

    keep_copy()


def _fire_once(waiter: defer.Deferred) -> None:
    if not waiter.called:
        waiter.callback(None)


def _cancel_timer(timer) -> None:
    if timer.active():
        timer.cancel()


class StoreApp:
    """The HTTP face of :class:`StoreState`, with the faults of :class:`Faults`."""

    app = Klein()

    def __init__(self, state: StoreState):
        self.state = state
        self.instances = InstanceList(state.clock)
        self.faults = Faults()

    def resource(self):
        return self.app.resource()

    def _answer(self, request, status: int, body) -> defer.Deferred:
        request.setHeader("store-era", str(self.state.era))
        payload = json_response(request, status, body)
        if self.faults.delay <= 0:
            return defer.succeed(payload)
        return _later(self.state.clock, self.faults.delay, payload)

    def _outage(self, request):
        return self._answer(request, 503, {"error": "outage"}) if self.faults.outage else None

    @app.route("/v1/objects/<kind>/<name>", methods=["GET"])
    def get_object(self, request, kind, name):
        self.state.calls_by_type["read"] += 1
        refused = self._outage(request)
        if refused:
            return refused
        stored = self.state.get(kind, name)
        if stored is None:
            return self._answer(request, 404, {"error": "not found"})
        return self._answer(request, 200, stored.to_json())

    @app.route("/v1/objects/<kind>", methods=["GET"])
    def list_objects(self, request, kind):
        self.state.calls_by_type["read"] += 1
        refused = self._outage(request)
        if refused:
            return refused
        objects = [obj.to_json() for obj in self.state.list_objects(kind)]
        return self._answer(request, 200, {"revision": self.state.revision, "objects": objects})

    @app.route("/v1/objects/<kind>/<name>", methods=["PUT"])
    def put_object(self, request, kind, name):
        self.state.calls_by_type["write"] += 1
        refused = self._outage(request)
        if refused:
            return refused
        body = json.loads(request.content.read())
        result = self.state.put(kind, name, body["value"], int(body["expected_version"]))
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            request.transport.abortConnection()
            return defer.Deferred()
        if isinstance(result, int):
            return self._answer(request, 409, {"current_version": result})
        return self._answer(request, 200, result.to_json())

    @app.route("/v1/watch/<kind>", methods=["GET"])
    def watch(self, request, kind):
        self.state.calls_by_type["watch"] += 1
        refused = self._outage(request)
        if refused:
            return refused
        since = int(request.args.get(b"since", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"10"])[0])
        if since < self.state.compacted_revision or since > self.state.revision:
            return self._answer(request, 410, {"error": "history forgotten"})
        waiting = self.state.wait_for_change(kind, since, wait)
        waiting.addCallback(
            lambda found: self._answer(
                request,
                200,
                {"revision": self.state.revision, "objects": [obj.to_json() for obj in found]},
            )
        )
        return waiting

    @app.route("/v1/instances", methods=["GET"])
    def list_instances(self, request):
        self.state.calls_by_type["read"] += 1
        refused = self._outage(request)
        if refused:
            return refused
        return self._answer(request, 200, {"instances": dict(self.instances.states_by_name)})

    @app.route("/v1/instances", methods=["POST"])
    def change_instance(self, request):
        body = json.loads(request.content.read())
        self.instances.change(body["name"], body["state"])
        return self._answer(request, 200, {"ok": True})

    @app.route("/v1/faults", methods=["POST"])
    def set_faults(self, request):
        body = json.loads(request.content.read())
        self.faults.outage = bool(body.get("outage", self.faults.outage))
        self.faults.delay = float(body.get("delay", self.faults.delay))
        self.faults.lose_acks = int(body.get("lose_acks", self.faults.lose_acks))
        if body.get("forget"):
            self.state.compacted_revision = self.state.revision
        return self._answer(request, 200, {"ok": True})

    @app.route("/v1/copy", methods=["POST"])
    def copy(self, request):
        self.state.copy()
        return self._answer(request, 200, {"revision": self.state.revision})

    @app.route("/v1/restore", methods=["POST"])
    def restore(self, request):
        self.state.restore()
        return self._answer(request, 200, {"era": self.state.era})

    @app.route("/v1/stats", methods=["GET"])
    def stats(self, request):
        return self._answer(request, 200, dict(self.state.calls_by_type))


def _later(clock: IReactorTime, delay: float, payload: bytes) -> defer.Deferred:
    done = defer.Deferred()
    clock.callLater(delay, done.callback, payload)
    return done
