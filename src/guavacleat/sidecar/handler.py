"""Implements the thrift ``Sidecar`` service by forwarding to the engine beside it."""

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError
from zope.interface import implementer

from guavacleat.orders import current_fencing
from guavacleat.protocol.gen.sidecar import Sidecar
from guavacleat.protocol.gen.sidecar.ttypes import (
    CacheEvent,
    Digest,
    LoadReport,
    NotRun,
    StaleOrder,
    StartReply,
    TokenBatch,
    UnknownStream,
)
from guavacleat.sidecar.engine_client import EngineClient
from guavacleat.sidecar.occupancy import HEADROOM, EngineOccupancy, RunningStream
from guavacleat.sidecar.streams import OpenStreams
from guavacleat.store import StoreUnavailableError

__all__ = ["SidecarHandler"]

DRAINING_RETRY_MS = 200
ENGINE_DOWN_RETRY_MS = 1000
ORDER_STORE_RETRY_MS = 2000
FULL_RETRY_MS = 50
# The latest events of a digest; older ones are left out, which the reader takes for a gap. It
# bounds a gateway's control traffic (16 digests a second) below 12 KB/s at any fleet size.
MAX_DIGEST_EVENTS = 12
STORED = "stored"


@implementer(Sidecar.Iface)
class SidecarHandler:
    """Thrift handler; every method returns a Deferred.

    :param endpoint: this endpoint's name, as in the settings.
    :param engine: client of the engine beside this sidecar.
    :param store: client of the object API, for the fencing numbers of orders.
    :param clock: times the streams left unread.
    :param headroom: share of the engine's memory kept free.
    """

    def __init__(self, endpoint: str, engine: EngineClient, store, clock, headroom=HEADROOM):
        self.endpoint = endpoint
        self.engine = engine
        self.store = store
        self.draining = False
        self.streams = OpenStreams(clock)
        self.occupancy = EngineOccupancy(headroom)
        self.order_lock = defer.DeferredLock()

    @defer.inlineCallbacks
    def start(self, request):
        # A leaving endpoint must get no new work; the refusal happens before the engine is
        # called, so "not run" is true and the gateway may send the request elsewhere.
        if self.draining:
            raise NotRun(reason=f"{self.endpoint} is draining", retry_after_ms=DRAINING_RETRY_MS)
        stream = _running(request)
        if not self.occupancy.fits(stream):
            raise NotRun(
                reason=f"{self.endpoint} has no room now", retry_after_ms=FULL_RETRY_MS, full=True
            )
        # Counted from before the engine is called: two starts arriving together must not both
        # be given the last room.
        self.occupancy.add(request.request_id, stream)
        stream_id = None
        self.streams.begin_start()
        try:
            stream_id, generation = yield self.engine.generate(
                request.request_id,
                request.prompt,
                request.max_tokens,
                request.priority,
                resume=request.resume_tokens or (),
            )
        except ConnectionRefusedError as exc:
            # Refused connection: the engine never read the request, so it did not run. Any
            # other failure (timeout, reset) leaves it unknown and is not reported as not run.
            raise NotRun(
                reason=f"engine of {self.endpoint} refused the connection",
                retry_after_ms=ENGINE_DOWN_RETRY_MS,
            ) from exc
        finally:
            self.streams.end_start(stream_id)
            self.occupancy.remove(request.request_id)
        self.occupancy.add(stream_id, stream)
        return StartReply(
            stream_id=stream_id, generation=generation, occupancy=self.occupancy.report()
        )

    @defer.inlineCallbacks
    def pull(self, stream_id: str, cursor: int, wait_ms: int):
        self.streams.touch(stream_id)
        try:
            batch = yield self.engine.read(stream_id, cursor, wait_ms / 1000)
        except LookupError as exc:
            self._close(stream_id)
            raise UnknownStream(stream_id=stream_id) from exc
        self.occupancy.record_emitted(stream_id, batch.first_index + len(batch.tokens))
        if batch.finished:
            self._close(stream_id, finished=True)
        return TokenBatch(
            generation=batch.generation,
            first_index=batch.first_index,
            tokens=batch.tokens,
            finished=batch.finished,
            finish_reason=batch.finish_reason,
            preemptions=batch.preemptions,
            occupancy=self.occupancy.report(),
        )

    @defer.inlineCallbacks
    def cancel(self, stream_id: str):
        try:
            yield self.engine.cancel(stream_id)
        finally:
            self._close(stream_id)

    def _close(self, stream_id: str, finished: bool = False) -> None:
        self.streams.close(stream_id)
        self.occupancy.remove(stream_id, finished)

    def cancel_idle(self) -> None:
        """Cancel the streams nobody reads any more.

        A gateway that died, or whose caller hung up, leaves its streams running to their end:
        the engine's memory fills with answers nobody will get, and a drain waits for them.
        """
        for stream_id in self.streams.idle():
            self.cancel(stream_id).addErrback(lambda _: None)

    @defer.inlineCallbacks
    def load(self):
        report = yield self.engine.load()
        return LoadReport(
            endpoint=self.endpoint,
            running=report["running"],
            waiting=report["waiting"],
            kv_used=report["kv_used"],
            kv_capacity=report["kv_capacity"],
            draining=self.draining,
        )

    @defer.inlineCallbacks
    def refresh_capacity(self):
        """Read the engine's sizes; without an answer the last ones stand."""
        try:
            report = yield self.engine.load()
        except Exception:  # noqa: BLE001 - whatever keeps the engine from answering
            return
        self.occupancy.set_limits(report["kv_capacity"], report["slots"])

    @defer.inlineCallbacks
    def digest(self, since: int):
        """Occupancy and cache events after ``since``, for gateways without streams here."""
        events = yield self.engine.cache_events(since)
        return Digest(
            occupancy=self.occupancy.report(),
            events=[
                CacheEvent(number=number, stored=kind == STORED, block=block)
                for number, kind, block in events[-MAX_DIGEST_EVENTS:]
            ],
        )

    def order(self, order):
        """Forward an order to the engine unless its fencing number is older than the newest.

        An issuer paused past its turn still believes it holds the order lease and sends its old
        number; engines of some deployments would apply it anyway. The newest number is read
        from the object API on every order (orders are rare), so a restarted sidecar fences as
        well as a long-running one. Without the store the order is refused as not run.

        Orders pass one at a time: otherwise an order whose check is answered slowly would reach
        the engine after a newer one that was checked and forwarded meanwhile.
        """
        return self.order_lock.run(self._order, order)

    @defer.inlineCallbacks
    def _order(self, order):
        try:
            newest = yield current_fencing(self.store, self.endpoint)
        except StoreUnavailableError as exc:
            raise NotRun(
                reason="the object API is unreachable, so the order's fencing cannot be checked",
                retry_after_ms=ORDER_STORE_RETRY_MS,
            ) from exc
        if order.fencing < newest:
            raise StaleOrder(fencing=order.fencing, newest=newest)
        accepted = yield self.engine.order(order.kind, order.target, order.fencing)
        if not accepted:
            raise StaleOrder(fencing=order.fencing, newest=newest)

    def begin_drain(self) -> defer.Deferred:
        """Refuse new work from now on; fire once every open stream has finished."""
        self.draining = True
        return self.streams.drain()


def _running(request) -> RunningStream:
    resumed = len(request.resume_tokens or ())
    kind = (request.service_name, request.priority)
    return RunningStream(kind, len(request.prompt.split()), request.max_tokens, resumed)
