"""Simulated gateways of several data centres, with faults of the store and the network.

The gateways use the real :class:`StoreSource`; the store, the datagram network and the clock are
simulated.
"""

import random
import types

from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.admission.account_usage import AccountUsage
from guavacleat.admission.generations import GenerationQueue
from guavacleat.evacuations import EvacuationRegister
from guavacleat.ingress.sources import StoreSource
from guavacleat.membership.entries import EndpointState
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.peers import PeerTable
from guavacleat.placement import LoadTracker
from guavacleat.platform.adapter import PlatformAdapter
from guavacleat.platform.settings import parse_process_settings
from guavacleat.quarantine import CrashTracker
from guavacleat.routes.holder import RouteHolder
from guavacleat.routes.model import CallerLimits, RouteTable
from guavacleat.store import ConflictError, StoredObject, StoreUnavailableError, WatchBatch
from guavacleat.store.messages import HistoryLostError
from guavacleat.throttling import LimitRegister
from tests.forwarding.harness import make_entry
from tests.network import DEFAULT_RECEIVED_BYTES, DatagramPort
from tests.platform.test_settings import SETTINGS_TEXT

__all__ = ["Fleet", "STEP_SECONDS"]

STEP_SECONDS = 0.05
CONFIG, ENDPOINTS = PlatformAdapter.config_kind, PlatformAdapter.endpoint_kind
EVACUATIONS = PlatformAdapter.evacuation_kind
# Timeout of a call that the store does not answer, in addition to a watch's wait.
CALL_TIMEOUT_SECONDS = 0.8


class SharedStore:
    """A store with one revision counter, and watches that wait for a change."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 0
        self.compacted_revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: list[StoredObject] = []
        # (kind, since, Deferred) of each waiting watch.
        self.waiting: list[tuple[str, int, defer.Deferred]] = []
        self.call_count = 0

    def write(self, kind, name, value, deleted=False):
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, self.revision, value, deleted)
        self.history.append(stored)
        if deleted:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = stored
        for waiting in [waiting for waiting in self.waiting if waiting[0] == kind]:
            self.waiting.remove(waiting)
            waiting[2].callback(self.changes(kind, waiting[1]))
        return stored

    def compact(self):
        """Discard the change history."""
        self.compacted_revision = self.revision

    def changes(self, kind, since):
        after = [stored for stored in self.history if stored.revision > since]
        return WatchBatch(self.revision, [stored for stored in after if stored.kind == kind])

    def listing(self, kind):
        return WatchBatch(
            self.revision, [stored for stored in self.objects.values() if stored.kind == kind]
        )


class StoreLink:
    """A gateway's connection to the store.

    :ivar state: ``"open"``; ``"refused"``: calls fail at once; ``"silent"``: calls time out.
    """

    def __init__(self, store: SharedStore):
        self.store = store
        self.state = "open"
        self.era_listeners = []
        # Answers of the watches that wait, the earliest first.
        self.answers = []

    def observe_era(self, era):
        """Ignored: this store is never restored from a backup."""

    def set_state(self, state):
        """Set the state; unless it is open, the calls in progress time out."""
        self.state = state

    def _failure(self, wait=0.0):
        self.store.call_count += 1
        if self.state == "open":
            return None
        failed = defer.Deferred()
        delay = 0.0 if self.state == "refused" else wait + CALL_TIMEOUT_SECONDS
        self.store.clock.callLater(delay, failed.errback, StoreUnavailableError(self.state))
        return failed

    def put(self, kind, name, value, expected_version):
        failure = self._failure()
        if failure is not None:
            return failure
        stored = self.store.objects.get((kind, name))
        version = stored.revision if stored else 0
        if version != expected_version:
            return defer.fail(ConflictError(kind, name, expected_version, version))
        return defer.succeed(self.store.write(kind, name, value))

    def get(self, kind, name):
        return self._failure() or defer.succeed(self.store.objects.get((kind, name)))

    def list_objects(self, kind, partial_listing=None):
        return self._failure() or defer.succeed(self.store.listing(kind))

    def watch(self, kind, since, wait, max_body_bytes=None):
        failure = self._failure(wait)
        if failure is not None:
            return failure
        if since < self.store.compacted_revision:
            return defer.fail(HistoryLostError(kind, since))
        batch = self.store.changes(kind, since)
        if batch.objects:
            return defer.succeed(batch)
        return self._wait(kind, since, wait)

    def _wait(self, kind, since, wait):
        changed = defer.Deferred()
        waiting = (kind, since, changed)
        self.store.waiting.append(waiting)
        answer = defer.Deferred()

        def time_out():
            if waiting in self.store.waiting:
                self.store.waiting.remove(waiting)
                changed.callback(WatchBatch(self.store.revision, []))

        def fail(error):
            if not answer.called:
                answer.errback(error)

        def deliver(batch):
            if answer.called:
                return
            if self.state == "open":
                answer.callback(batch)
            else:
                error = StoreUnavailableError("the answer was lost")
                self.store.clock.callLater(CALL_TIMEOUT_SECONDS, fail, error)

        self.store.clock.callLater(wait, time_out)
        changed.addCallback(deliver)
        self.answers = [waiting for waiting in self.answers if not waiting.called] + [answer]
        return answer

    def cut(self):
        """Close the connections of the watches that wait."""
        waiting = [answer for answer in self.answers if not answer.called]
        self.answers.clear()
        for answer in waiting:
            answer.errback(StoreUnavailableError("connection closed"))


class Gateway:
    """A gateway's store source and peer exchange."""

    def __init__(self, fleet, instance, data_centre, ip):
        self.fleet = fleet
        self.instance, self.data_centre, self.ip = instance, data_centre, ip
        self.frozen = False
        self.left_ids = []
        text = SETTINGS_TEXT + f"\nnodeName={instance}\nip={ip}\nzone={data_centre}\n"
        text += fleet.more_settings
        settings = parse_process_settings(text)
        self.clock = fleet.clock
        self.holder = RouteHolder()
        self.registry = EndpointRegistry(self.clock, lambda entry: self.left_ids.append(entry.id))
        self.load = LoadTracker(self.clock)
        self.peers = PeerTable(self.clock)
        self.crash_tracker = CrashTracker(self.clock)
        self.limits = LimitRegister(self.clock)
        self.demands_by_service = dict
        self.account_usage = AccountUsage(self.clock, self.peers)
        self.load.peers = self.peers
        self.context = types.SimpleNamespace(queue=GenerationQueue(self.clock, None))
        self.evacuations = EvacuationRegister(self.clock)
        self.source = StoreSource(self, settings, fleet)
        self.link = self.source.store = fleet.connect()
        self.source.start(self)
        for watch in self.source.watches:
            watch.random = random.Random(f"{instance} {watch.kind}")

    # Reactor interface.

    def seconds(self):
        return self.clock.seconds()

    def callLater(self, delay, work, *args, **kwargs):  # noqa: N802 - Twisted's name
        return self.clock.callLater(delay, work, *args, **kwargs)

    def listenUDP(  # noqa: N802 - Twisted's name
        self,
        port,
        protocol,
        interface,
        maxPacketSize=DEFAULT_RECEIVED_BYTES,  # noqa: N803 - Twisted's name
    ):
        self.datagram_port = DatagramPort(self, (interface, port), protocol, maxPacketSize)
        protocol.transport = self.datagram_port
        protocol.startProtocol()
        return types.SimpleNamespace(stopListening=lambda: None)

    def deliver(self, port, data, address):
        self.fleet.deliver(self, data, address)

    @property
    def port(self):
        return self.source.address[1]

    def stop(self):
        self.source.stop()
        self.frozen = True

    def ready_ids(self):
        return {entry.id for entry in self.registry.all_ready()}


class Fleet:
    """Gateways by instance; also serves as the platform adapter of their sources.

    :ivar blocked_links: pairs (sender, receiver) of instances between which datagrams are dropped.
    """

    config_kind, config_name, endpoint_kind = CONFIG, "main", ENDPOINTS
    evacuation_kind = EVACUATIONS
    more_settings = ""
    dialect = PlatformAdapter().dialect

    def __init__(
        self, data_centres, per_data_centre, drops_datagram=lambda: False, endpoints=(), seed=7
    ):
        # Seeds the random waits, pauses and limits.
        random.seed(seed)
        self.clock = Clock()
        self.store = self.make_store()
        self.blocked_links = set()
        self.drops_datagram = drops_datagram
        self.gateways = {}
        self.remote_bytes = 0
        self.configure(1)
        for id in endpoints:
            self.set_endpoint(id, "ready")
        for number in range(data_centres):
            for place in range(per_data_centre):
                self.add(f"g{number}-{place}", f"dc{number}", f"10.{number}.0.{place + 1}")

    def make_store(self):
        return SharedStore(self.clock)

    def connect(self):
        """A new connection to the store."""
        return StoreLink(self.store)

    def add(self, instance, data_centre, ip):
        self.gateways[instance] = Gateway(self, instance, data_centre, ip)

    def deliver(self, sender, data, address):
        """Deliver a datagram unless it is dropped."""
        receivers = (gateway for gateway in self.gateways.values() if gateway.ip == address[0])
        receiver = next(receivers, None)
        if receiver is None:
            return
        if sender.data_centre != receiver.data_centre:
            self.remote_bytes += len(data)
        if (sender.instance, receiver.instance) in self.blocked_links or self.drops_datagram():
            return
        self.clock.callLater(0.001, self._arrive, receiver, data, (sender.ip, sender.port))

    @staticmethod
    def _arrive(receiver, data, address):
        if not receiver.frozen:
            receiver.datagram_port.arrive(data, address)

    def configure(self, version):
        self.store.write(CONFIG, "main", version)

    def set_endpoint(self, id, state):
        self.store.write(ENDPOINTS, id, state)

    def remove_endpoint(self, id):
        self.store.write(ENDPOINTS, id, None, deleted=True)

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)

    def count_calls(self, seconds):
        """Advance the clock and return the number of store calls made by all gateways."""
        before = self.store.call_count
        self.pass_time(seconds)
        return self.store.call_count - before

    def ready_in_store(self):
        return {
            name
            for (kind, name), stored in self.store.objects.items()
            if kind == ENDPOINTS and stored.value == "ready"
        }

    # Platform adapter interface.

    @staticmethod
    def decode_configuration(version):
        return RouteTable(version, [], {}, {}, CallerLimits(), False)

    @staticmethod
    def decode_endpoint(id, state, revision):
        return make_entry(id, state=EndpointState(state), revision=revision)
