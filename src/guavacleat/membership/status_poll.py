"""Polls endpoints for their status while the store is unreachable.

An engine announces in the store that it is leaving, a second or two ahead. While no gateway
reaches the store, this notice is lost: streams on the engine break without a migration attempt,
and new requests are still sent to it. Engines also report their status on request, but each
request is billed. They are therefore polled only during an outage, each by one gateway, which
gossips the result.

A store that accepts calls without responding is detected by a watch only at its timeout, too late
for an engine with short notice. The gateways' watches end at different times, so that an outage is
detected earlier when none of them has had a response for ``STORE_SILENCE_SECONDS``.
"""

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.entries import EndpointEntry
from guavacleat.membership.registry import EndpointRegistry
from guavacleat.periodic import Periodic
from guavacleat.rendezvous import select_members

__all__ = ["EndpointStatusPoller", "STORE_SILENCE_SECONDS", "store_silence"]

# Short compared with the notice that engines give.
POLL_INTERVAL_SECONDS = 0.4
# Time without a response from the store to any gateway after which it counts as unreachable. A
# watch returns every 1.2 to 2 s, at a different time in each gateway, so that among some gateways a
# second without any response is unusual. A gateway without peers knows of its own watches only and
# waits longer.
STORE_SILENCE_SECONDS = 1.0
STORE_SILENCE_ALONE_SECONDS = 2.2
# A status report comes within some milliseconds.
POLL_TIMEOUT_SECONDS = 0.3


def store_silence(registry: EndpointRegistry, peers) -> float:
    """Seconds since the store last responded to this gateway or a peer."""
    return min(registry.store_silence(), peers.store_silence())


class EndpointStatusPoller:
    """Polls ready endpoints that run generations while no gateway reaches the store.

    :param instance: this gateway's name.
    :param load: the :class:`~guavacleat.placement.LoadTracker`.
    :param peers: the :class:`~guavacleat.peers.PeerTable`.
    """

    def __init__(
        self,
        clock: IReactorTime,
        pool,
        wire,
        registry: EndpointRegistry,
        load,
        peers,
        instance: str,
    ):
        self.clock = clock
        self.pool = pool
        self.wire = wire
        self.registry = registry
        self.load = load
        self.peers = peers
        self.instance = instance
        self._polling = Periodic(clock, POLL_INTERVAL_SECONDS, self.poll)
        # Ids of endpoints with a call in progress.
        self._pending_ids: set[str] = set()

    def start(self) -> None:
        self._polling.start()

    def stop(self) -> None:
        self._polling.stop()

    def poll(self) -> None:
        """Poll the endpoints assigned to this gateway if the store is unreachable."""
        reports, summaries = self.peers.alive(), self.peers.summaries()
        if not self._store_is_unreachable([*reports, *summaries]):
            return
        pollers = [self.instance, *(report.instance for report in reports)]
        covered_data_centres = {summary.data_centre for summary in summaries}
        for entry in self.registry.all_ready():
            if entry.data_centre in covered_data_centres:
                # Polled by the gateways of its own data centre.
                continue
            if entry.id not in self._pending_ids and self._is_assigned_here(entry, pollers):
                polling = defer.Deferred.fromCoroutine(self._poll_endpoint(entry))
                polling.addErrback(self._log_error)

    def _store_is_unreachable(self, reports: list) -> bool:
        """Whether no gateway reaches the store; a peer that does gossips its changes."""
        if self.registry.store_lost and all(report.store_failing for report in reports):
            return True
        silence = store_silence(self.registry, self.peers)
        return silence > (STORE_SILENCE_SECONDS if reports else STORE_SILENCE_ALONE_SECONDS)

    def _is_assigned_here(self, entry: EndpointEntry, pollers: list[str]) -> bool:
        if not self.load.total(entry.id).peak_tokens:
            return False
        return select_members(pollers, entry.id) == [self.instance]

    async def _poll_endpoint(self, entry: EndpointEntry) -> None:
        self._pending_ids.add(entry.id)
        method, target = self.wire.encode_status_request()
        try:
            answer = await call(
                self.clock, self.pool, entry.address, method, target, [], b"", POLL_TIMEOUT_SECONDS
            )
        except CallBrokenError as exc:
            log_message(message_type="endpoint:silent", endpoint=entry.id, error=repr(exc))
            return
        finally:
            self._pending_ids.discard(entry.id)
        status = self.wire.decode_status(answer.code, answer.body)
        if status.leaving and self.registry.is_current(entry):
            log_message(message_type="endpoint:told", endpoint=entry.id, leaves_in=status.leaves_in)
            self.registry.observe_leaving(entry)

    def _log_error(self, failure) -> None:
        log_message(message_type="endpoint:ask-error", error=failure.getTraceback())
