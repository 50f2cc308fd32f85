"""Asking an endpoint for a stream: connection, what the gateway tells it, where a backup goes."""

from guavacleat.forwarding.leg import Leg, LegEnd
from guavacleat.forwarding.memory import HeldCopy, StreamMemory
from guavacleat.forwarding.messages import ForwardingMetadata, ResumePoint
from guavacleat.forwarding.request import ForwardedRequest
from guavacleat.membership.registry import EndpointEntry

__all__ = ["LegOpener"]


class LegOpener:
    """Opens the legs of one stream.

    :param session: the :class:`~.session.StreamSession`; hears the legs' heads and events.
    :param log: writes a line with the request's id and the fields given.
    """

    def __init__(self, session, request: ForwardedRequest, context, memory: StreamMemory, log):
        self.session = session
        self.request = request
        self.context = context
        self.memory = memory
        self.log = log

    async def open(
        self, entry: EndpointEntry, resume: ResumePoint | None, protect: bool = True
    ) -> Leg | None:
        """Send the request to ``entry``, to go on at ``resume`` if that is given.

        Returns None if no connection came about, or if the stream was over by then.

        :param protect: whether a backup may be asked for.
        """
        run = self.memory.begin_run(entry, resumed=resume is not None)
        try:
            connection = await self.context.pool.connect(entry.address)
        except Exception as exc:  # noqa: BLE001 - no connection: refused, timed out, unreachable
            self.context.load.end(entry.id, run)
            self.context.load.record_failure(entry.id)
            self.log("stream:unreachable", endpoint=entry.id, error=repr(exc))
            return None
        if self.session.finished or self.session.time_left() <= 0:
            self.context.load.end(entry.id, run)
            connection.abandon()
            return None
        backup = self._place_backup(entry) if protect else None
        self._log_placed(entry, backup, resume)
        self.context.quarantine.request_sent(self.request, entry.id)
        leg = Leg(entry, self.request.metadata.id, self.context.wire, self.session)
        leg.connection, leg.run, leg.backup = connection, run, backup
        leg.began = self.context.clock.seconds()
        leg.done.addBoth(self._leg_over, leg)
        self._send(leg, resume)
        return leg

    def _send(self, leg: Leg, resume: ResumePoint | None) -> None:
        request = self.request
        forwarding_metadata = ForwardingMetadata(
            leg.entry.id,
            self.session.time_left(),
            request.account_name,
            request.priority,
            resume,
            leg.backup.entry.address if leg.backup else None,
        )
        head = request.exchange.head
        headers = self.context.wire.endpoint_headers(request.headers, forwarding_metadata)
        leg.connection.send(head.method, head.target, headers, request.exchange.body, leg)

    def _leg_over(self, end: LegEnd, leg: Leg) -> LegEnd:
        self.context.load.end(leg.entry.id, leg.run)
        if end is LegEnd.BROKEN:
            # It may have crashed: for some seconds nothing new goes there, nor a backup.
            self.context.load.record_failure(leg.entry.id)
        if leg.broke_off:
            self.context.quarantine.request_interrupted(self.request, leg.entry.id, leg.began)
        elif end is LegEnd.COMPLETE:
            self.context.quarantine.request_completed(self.request)
        self.context.quarantine.run_finished(self.request)
        return end

    def _place_backup(self, entry: EndpointEntry) -> HeldCopy | None:
        """Where a growing copy of the run shall be kept: None if no engine has memory to spare."""
        engine = self.request.traits.engine
        if engine is None or not engine.backups or not self.memory.worth_moving():
            return None
        if not self.context.quarantine.is_unrestricted(self.request):
            return None
        expected = self.memory.expected_tokens()
        keeper = self.context.placement.choose_backup_target(entry, expected, engine)
        if keeper is None:
            return None
        return HeldCopy(keeper, keeper, self.request.metadata.id, backup=True)

    def _log_placed(self, entry, backup: HeldCopy | None, resume: ResumePoint | None) -> None:
        """What decided where the run goes: the endpoint's load with it, as known here."""
        load = self.context.load.total(entry.id)
        self.log(
            "stream:placed",
            endpoint=entry.id,
            resumed=resume is not None,
            backup=backup.entry.id if backup else None,
            runs=load.runs,
            expected=load.peak_tokens,
            unread=load.unread_tokens,
        )
