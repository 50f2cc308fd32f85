"""Asking endpoints themselves whether they leave, while the store cannot tell.

An engine that is taken away says so in the store, a second or two ahead. While no gateway reaches
the store, nobody hears it: streams on engines that go are cut without a copy being tried, and new
ones are sent there to the end. Engines answer themselves what state they are in, at a price for
each question. So they are asked only then, each by one gateway, which tells the others.

A store that takes calls and says nothing shows only as a watch's time runs out, when an engine with
short notice is gone. But the watches of the gateways that listen run out one after the other: that
none of them has heard anything for a second shows it earlier.
"""

from eliot import log_message
from twisted.internet import defer
from twisted.internet.interfaces import IReactorTime

from guavacleat.http1.calls import CallBrokenError, call
from guavacleat.membership.registry import EndpointEntry, EndpointRegistry
from guavacleat.periodic import Periodic
from guavacleat.rendezvous import select_members

__all__ = ["EndpointStatusPoller", "STORE_SILENCE_SECONDS", "store_silence"]

# Between two questions to an engine: a small part of the notice that engines give.
ASK_SECONDS = 0.4
# Watches come back every 1.2 to 2 s, two in each gateway that listens, in step with nobody: with
# some gateways, a second without any answer to any of them is unusual. A gateway alone has to wait
# for its own.
STORE_SILENCE_SECONDS = 1.0
STORE_SILENCE_ALONE_SECONDS = 2.2
# A report comes within some ms; one that does not come in time says nothing.
ANSWER_SECONDS = 0.3


def store_silence(registry: EndpointRegistry, peers) -> float:
    """Seconds since this gateway or a peer last heard from the store."""
    return min(registry.store_silence(), peers.store_silence())


class EndpointStatusPoller:
    """Asks while the store is away.

    :param instance: this gateway's name.
    :param load: the :class:`~guavacleat.placement.LoadTracker`: only endpoints that run generations
        have something to lose.
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
        self._asking = Periodic(clock, ASK_SECONDS, self.ask)
        # Ids of endpoints whose answers are awaited.
        self._asked: set[str] = set()

    def start(self) -> None:
        self._asking.start()

    def stop(self) -> None:
        self._asking.stop()

    def ask(self) -> None:
        """Ask those endpoints whose turn is this gateway's."""
        reports, summaries = self.peers.alive(), self.peers.summaries()
        if not self._store_cannot_tell([*reports, *summaries]):
            return
        askers = [self.instance, *(report.instance for report in reports)]
        others = {summary.data_centre for summary in summaries}
        for entry in self.registry.all_ready():
            if entry.data_centre in others:
                # Gateways near it ask.
                continue
            if entry.id not in self._asked and self._is_mine(entry, askers):
                asking = defer.Deferred.fromCoroutine(self._ask(entry))
                asking.addErrback(self._note_error)

    def _store_cannot_tell(self, reports: list) -> bool:
        """Whether no gateway hears the store: a peer that does tells what it hears."""
        if self.registry.store_away and all(report.store_away for report in reports):
            return True
        silence = store_silence(self.registry, self.peers)
        return silence > (STORE_SILENCE_SECONDS if reports else STORE_SILENCE_ALONE_SECONDS)

    def _is_mine(self, entry: EndpointEntry, askers: list[str]) -> bool:
        if not self.load.total(entry.id).peak_tokens:
            return False
        return select_members(askers, entry.id) == [self.instance]

    async def _ask(self, entry: EndpointEntry) -> None:
        self._asked.add(entry.id)
        method, target = self.wire.encode_status_request()
        try:
            answer = await call(
                self.clock, self.pool, entry.address, method, target, [], b"", ANSWER_SECONDS
            )
        except CallBrokenError as exc:
            log_message(message_type="endpoint:silent", endpoint=entry.id, error=repr(exc))
            return
        finally:
            self._asked.discard(entry.id)
        status = self.wire.decode_status(answer.code, answer.body)
        if status.leaving and self.registry.is_current(entry):
            log_message(message_type="endpoint:told", endpoint=entry.id, leaves_in=status.leaves_in)
            self.registry.observe_leaving(entry)

    def _note_error(self, failure) -> None:
        log_message(message_type="endpoint:ask-error", error=failure.getTraceback())
