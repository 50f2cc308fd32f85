"""Stand-in for the platform's object store, over HTTP, with fault injection.

Routes (JSON bodies):

- ``GET /v1/objects/<kind>/<name>``: 200 with a stored object, 404 if absent.
- ``GET /v1/objects/<kind>``: 200 with ``{"revision": R, "objects": [...]}``.
- ``PUT /v1/objects/<kind>/<name>`` with ``{"value": V, "expected_version": N}``: 200 with the
  new object, or 409 with ``{"current_version": M}``. ``N`` = 0 requires that it not exist.
- ``GET /v1/watch/<kind>?since=R&wait=S``: waits up to S seconds for writes after revision R.
  410 if the history after R has been compacted.
- ``GET /v1/instances``: the platform's instance list, delayed; ``POST /v1/instances`` with
  ``{"name", "state"}`` changes it (state ``live``, ``leaving`` or null).
- ``POST /v1/faults`` with ``{"outage": bool, "delay": s, "lose_acks": n, "forget": bool}``.
- ``POST /v1/copy`` takes a backup of all objects; ``POST /v1/restore`` restores it.
- ``GET /v1/stats``: calls counted by type.

The ``Store-Era`` header of each response counts the restores. A restore rolls back all writes since
the backup together with their revisions, which are then reused; a watch from a revision above the
store's current one gets 410.

Faults: ``outage`` responds 503; ``delay`` delays each response; ``lose_acks`` applies the next
writes but drops their connections without a response; ``forget`` compacts the history of writes.
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

MAX_WATCH_WAIT_SECONDS = 30.0


class Faults:
    """Active faults, until changed by ``POST /v1/faults``."""

    __slots__ = ("outage", "delay", "lose_acks")

    def __init__(self):
        self.outage = False
        self.delay = 0.0
        self.lose_acks = 0


class StoreState:
    """The objects and the store-wide revision; each write notifies the watchers of its kind.

    :ivar era: number of restores.
    :ivar backup: revision and objects that :meth:`restore` returns to.
    """

    def __init__(self, clock: IReactorTime):
        self.clock = clock
        self.era = 0
        self.backup: tuple[int, dict] = (0, {})
        self.revision = 0
        self.compacted_revision = 0
        self.objects_by_key: dict[tuple[str, str], StoredObject] = {}
        self.watchers_by_kind: dict[str, list[defer.Deferred]] = {}
        self.calls_by_type: dict[str, int] = {"read": 0, "write": 0, "watch": 0}

    def copy(self) -> None:
        """Take a backup, replacing the previous one."""
        self.backup = (self.revision, dict(self.objects_by_key))

    def restore(self) -> None:
        """Restore the backup; pending watches complete without changes."""
        self.era += 1
        self.revision, objects = self.backup
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.objects_by_key = dict(objects)
        watching, self.watchers_by_kind = self.watchers_by_kind, {}
        for waiter in itertools.chain.from_iterable(watching.values()):
            waiter.callback(None)

    def get(self, kind: str, name: str) -> StoredObject | None:
        return self.objects_by_key.get((kind, name))

    def list_objects(self, kind: str) -> list[StoredObject]:
        return sorted(
            (obj for (k, _), obj in self.objects_by_key.items() if k == kind),
            key=lambda obj: obj.revision,
        )

    def put(self, kind: str, name: str, value, expected_version: int) -> StoredObject | int:
        """Apply a conditional write; return the new object, or the current version on conflict."""
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
        """Fire with the changes after revision ``since``, or after ``wait`` seconds."""
        found = self.changes(kind, since)
        if found or wait <= 0:
            return defer.succeed(found)
        waiter = defer.Deferred()
        self.watchers_by_kind.setdefault(kind, []).append(waiter)
        timer = self.clock.callLater(min(wait, MAX_WATCH_WAIT_SECONDS), _fire_once, waiter)
        waiter.addCallback(lambda _: _cancel_timer(timer))
        waiter.addCallback(lambda _: self.changes(kind, since))
        return waiter


def restore_at_intervals(clock: IReactorTime, state: StoreState, seconds: float) -> None:
    """Restore a backup every ``seconds``; each restore loses the last half interval."""

    def restore():
        state.restore()
        schedule_cycle()

    def schedule_cycle():
        clock.callLater(seconds / 2, state.copy)
        clock.callLater(seconds, restore)

    schedule_cycle()


def _fire_once(waiter: defer.Deferred) -> None:
    if not waiter.called:
        waiter.callback(None)


def _cancel_timer(timer) -> None:
    if timer.active():
        timer.cancel()


class StoreApp:
    """HTTP interface of :class:`StoreState`, with fault injection."""

    app = Klein()

    def __init__(self, state: StoreState):
        self.state = state
        self.instances = InstanceList(state.clock)
        self.faults = Faults()

    def resource(self):
        return self.app.resource()

    def _respond(self, request, status: int, body) -> defer.Deferred:
        request.setHeader("store-era", str(self.state.era))
        payload = json_response(request, status, body)
        if self.faults.delay <= 0:
            return defer.succeed(payload)
        return _delayed(self.state.clock, self.faults.delay, payload)

    def _outage_response(self, request):
        return self._respond(request, 503, {"error": "outage"}) if self.faults.outage else None

    @app.route("/v1/objects/<kind>/<name>", methods=["GET"])
    def get_object(self, request, kind, name):
        self.state.calls_by_type["read"] += 1
        unavailable = self._outage_response(request)
        if unavailable:
            return unavailable
        stored = self.state.get(kind, name)
        if stored is None:
            return self._respond(request, 404, {"error": "not found"})
        return self._respond(request, 200, stored.to_json())

    @app.route("/v1/objects/<kind>", methods=["GET"])
    def list_objects(self, request, kind):
        self.state.calls_by_type["read"] += 1
        unavailable = self._outage_response(request)
        if unavailable:
            return unavailable
        objects = [obj.to_json() for obj in self.state.list_objects(kind)]
        return self._respond(request, 200, {"revision": self.state.revision, "objects": objects})

    @app.route("/v1/objects/<kind>/<name>", methods=["PUT"])
    def put_object(self, request, kind, name):
        self.state.calls_by_type["write"] += 1
        unavailable = self._outage_response(request)
        if unavailable:
            return unavailable
        body = json.loads(request.content.read())
        result = self.state.put(kind, name, body["value"], int(body["expected_version"]))
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            request.transport.abortConnection()
            return defer.Deferred()
        if isinstance(result, int):
            return self._respond(request, 409, {"current_version": result})
        return self._respond(request, 200, result.to_json())

    @app.route("/v1/watch/<kind>", methods=["GET"])
    def watch(self, request, kind):
        self.state.calls_by_type["watch"] += 1
        unavailable = self._outage_response(request)
        if unavailable:
            return unavailable
        since = int(request.args.get(b"since", [b"0"])[0])
        wait = float(request.args.get(b"wait", [b"10"])[0])
        if since < self.state.compacted_revision or since > self.state.revision:
            return self._respond(request, 410, {"error": "history forgotten"})
        pending = self.state.wait_for_change(kind, since, wait)
        pending.addCallback(
            lambda found: self._respond(
                request,
                200,
                {"revision": self.state.revision, "objects": [obj.to_json() for obj in found]},
            )
        )
        return pending

    @app.route("/v1/instances", methods=["GET"])
    def list_instances(self, request):
        self.state.calls_by_type["read"] += 1
        unavailable = self._outage_response(request)
        if unavailable:
            return unavailable
        return self._respond(request, 200, {"instances": dict(self.instances.states_by_name)})

    @app.route("/v1/instances", methods=["POST"])
    def change_instance(self, request):
        body = json.loads(request.content.read())
        self.instances.change(body["name"], body["state"])
        return self._respond(request, 200, {"ok": True})

    @app.route("/v1/faults", methods=["POST"])
    def set_faults(self, request):
        body = json.loads(request.content.read())
        self.faults.outage = bool(body.get("outage", self.faults.outage))
        self.faults.delay = float(body.get("delay", self.faults.delay))
        self.faults.lose_acks = int(body.get("lose_acks", self.faults.lose_acks))
        if body.get("forget"):
            self.state.compacted_revision = self.state.revision
        return self._respond(request, 200, {"ok": True})

    @app.route("/v1/copy", methods=["POST"])
    def copy(self, request):
        self.state.copy()
        return self._respond(request, 200, {"revision": self.state.revision})

    @app.route("/v1/restore", methods=["POST"])
    def restore(self, request):
        self.state.restore()
        return self._respond(request, 200, {"era": self.state.era})

    @app.route("/v1/stats", methods=["GET"])
    def stats(self, request):
        return self._respond(request, 200, dict(self.state.calls_by_type))


def _delayed(clock: IReactorTime, delay: float, payload: bytes) -> defer.Deferred:
    done = defer.Deferred()
    clock.callLater(delay, done.callback, payload)
    return done
