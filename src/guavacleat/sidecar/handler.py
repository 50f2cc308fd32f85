"""Handler of the thrift ``Sidecar`` service, which forwards calls to the local engine."""

from twisted.internet import defer
from twisted.internet.error import ConnectionRefusedError
from zope.interface import implementer

from guavacleat.http1.calls import NotConnectedError
from guavacleat.orders import current_fencing_number
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
# A digest carries only the latest events, which keeps a gateway's control traffic, at 16 digests a
# second, below 12 KB/s at any number of endpoints. The reader detects dropped events by the gap in
# their numbers.
MAX_DIGEST_EVENTS = 12
STORED = "stored"


@implementer(Sidecar.Iface)
class SidecarHandler:
    """Thrift handler; every thrift method returns a Deferred.

    :param endpoint: this endpoint's name, as in the settings.
    :param engine: client of the local engine.
    :param store: client of the object API, which holds the fencing numbers of orders.
    :param clock: reactor time, for the idle timeout of streams.
    :param headroom: fraction of the engine's memory to keep free.
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
        # Refused before the engine is called, so the gateway may safely retry elsewhere.
        if self.draining:
            raise NotRun(reason=f"{self.endpoint} is draining", retry_after_ms=DRAINING_RETRY_MS)
        stream = _running_stream(request)
        if not self.occupancy.fits(stream):
            raise NotRun(
                reason=f"{self.endpoint} has no room now", retry_after_ms=FULL_RETRY_MS, full=True
            )
        # Memory is reserved before the engine is called, so that concurrent starts cannot both
        # be admitted to the last free memory.
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
        except (ConnectionRefusedError, NotConnectedError) as exc:
            # The engine cannot have read the request. After any other failure (timeout, reset)
            # it may have, so those are not reported as NotRun.
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
        """Cancel streams that have not been read within the idle timeout.

        Streams whose gateway crashed or whose caller disconnected would otherwise run to their end,
        holding engine memory and delaying a drain.
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
        """Update the engine's limits from its load report; keep the previous ones on failure."""
        try:
            report = yield self.engine.load()
        except Exception:  # noqa: BLE001 - any failure of the engine or the link
            return
        self.occupancy.set_limits(report["kv_capacity"], report["slots"])

    @defer.inlineCallbacks
    def digest(self, since: int):
        """Occupancy and cache events after ``since``, for gateways with no open stream here."""
        events = yield self.engine.cache_events(since)
        return Digest(
            occupancy=self.occupancy.report(),
            events=[
                CacheEvent(number=number, stored=kind == STORED, block=block)
                for number, kind, block in events[-MAX_DIGEST_EVENTS:]
            ],
        )

    def order(self, order):
        """Forward an order to the engine unless its fencing number is stale.

        An issuer that was paused past the expiry of its order lease may still send orders, and
        some engines do not check fencing numbers themselves. The current number is read from the
        object API for every order, so that fencing survives a restart of the sidecar. While the
        object API is unreachable, orders are refused as NotRun.

        Orders are serialised: otherwise an order whose check is slow could reach the engine
        after a newer one.
        """
        return self.order_lock.run(self._order, order)

    @defer.inlineCallbacks
    def _order(self, order):
        try:
            newest = yield current_fencing_number(self.store, self.endpoint)
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
        """Stop accepting starts; fire once every open stream has closed."""
        self.draining = True
        return self.streams.drain()


def _running_stream(request) -> RunningStream:
    resumed = len(request.resume_tokens or ())
    kind = (request.service_name, request.priority)
    return RunningStream(kind, len(request.prompt.split()), request.max_tokens, resumed)
