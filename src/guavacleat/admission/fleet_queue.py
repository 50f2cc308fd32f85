"""Queues the generations of contended services, in one order over all gateways.

Each gateway assigns engines to its own requests and to those that its peers report, by the rule of
:mod:`~.fleet_order`, and dispatches its own. A request that arrives takes part in the order at
once, and is queued if no engine has room for it.
"""

import heapq

from eliot import log_message
from twisted.internet import defer

from guavacleat.admission.account_usage import weighted_tokens
from guavacleat.admission.backlog import RATE_WINDOW_SECONDS, Backlog
from guavacleat.admission.fleet_backlog import DispatchHistory, build_backlog
from guavacleat.admission.fleet_entry import FleetEntry
from guavacleat.admission.fleet_order import Assignment, Contender, assign
from guavacleat.admission.head_watch import HeadWatch
from guavacleat.admission.turn_engines import TurnEngines
from guavacleat.forwarding.refusals import RefusalError, throttled
from guavacleat.placement.engine_choice import GenerationDemand

__all__ = ["POLL_SECONDS", "TURN_BATCH_SECONDS", "FleetQueue"]

# Changes of loads and reports within this time lead to one turn.
TURN_BATCH_SECONDS = 0.005
# The same for each engine, where this is longer: reading the loads of 3,000 engines takes some
# milliseconds.
TURN_BATCH_SECONDS_PER_ENGINE = 2e-5
# Interval of turns without a notification, for what no report announces: a new engine, or a peer
# whose reports have stopped.
POLL_SECONDS = 0.1
# A turn reports what waits if the last report is older: with turns every 0.1 s and reports batched
# within 0.01 s, reports are less than 0.25 s apart.
REPEAT_SECONDS = 0.125
# Own requests that take part in a turn, so that a long queue doesn't hold up the event loop.
MAX_TURN_ENTRIES = 256


class FleetQueue:
    """The queue of one contended service at this gateway.

    :param peers: the :class:`~guavacleat.peers.PeerTable`; None for a single gateway.
    :param rng: the :class:`random.Random` for keys.
    :param refusals: the :class:`~.refusal_policy.RefusalPolicy`.
    :param accounts: the :class:`~.account_usage.AccountUsage`.
    :param on_change: called when what waits has changed or should be reported again.
    """

    def __init__(self, service, clock, placement, rng, peers, refusals, accounts, on_change):
        self.service = service
        self.clock = clock
        self.placement = placement
        self.random = rng
        self.peers = peers
        self.refusals = refusals
        self.accounts = accounts
        self.on_change = on_change
        self.engine_traits = None
        self._engine_count = 0
        self.head_watch = HeadWatch()
        self.entries_by_key: dict[int, FleetEntry] = {}
        self.history = DispatchHistory()
        # Entries that a turn has assigned and not yet dispatched: they are in no load yet.
        self._assigned: dict[int, tuple[FleetEntry, object]] = {}
        self._turn_call = None
        self._reported_at = float("-inf")

    def __len__(self) -> int:
        return len(self.entries_by_key)

    def acquire(self, request, tried: set[str]) -> defer.Deferred:
        """See :meth:`~.generations.GenerationQueue.acquire`."""
        now = self.clock.seconds()
        self.engine_traits = request.traits.engine
        latest_start = self.placement.latest_start(request)
        entry = FleetEntry(request, tried, latest_start, now, self.random)
        assignment = self._assign([entry], self._first_entries(now), now, entry)
        for _, engine in assignment.own:
            self._record_dispatch(entry, engine, assignment)
            return defer.succeed(engine)
        backlog = self._fleet_backlog()
        refusal = self._refusal_on_arrival(entry, backlog, now)
        if refusal is not None:
            return defer.fail(refusal)
        entry.misses_goal = self.refusals.misses_goal(entry.arrival(), backlog, now)
        self._push(entry, now)
        self._log_waits(entry, assignment, now)
        return entry.result

    def _refusal_on_arrival(
        self, entry: FleetEntry, backlog: Backlog, now: float
    ) -> RefusalError | None:
        request = entry.request
        throttled_for = self.placement.seconds_until_available(request, entry.tried)
        if throttled_for and now + throttled_for > entry.wait_deadline:
            return throttled(self.placement, request, entry.tried)
        if now >= entry.wait_deadline:
            return self.refusals.at_deadline(entry.arrival(), backlog, now)
        return self.refusals.on_arrival(entry.arrival(), backlog, now)

    def _push(self, entry: FleetEntry, now: float) -> None:
        entry.result = defer.Deferred(lambda result: self._cancel(entry))
        entry.timers = [self.clock.callLater(entry.wait_deadline - now, self._expire, entry)]
        if not entry.is_late(now):
            wait = entry.latest_start - now
            entry.timers.append(self.clock.callLater(wait, self._on_late, entry))
        self.entries_by_key[entry.key] = entry
        self._report(now)
        self.schedule_turn()

    def refuse_where(self, refusal_of) -> None:
        """Refuse the queued requests for which ``refusal_of`` returns a :class:`RefusalError`."""
        for entry in list(self.entries_by_key.values()):
            refusal = refusal_of(entry.request)
            if refusal is not None:
                self._refuse(entry, refusal)

    def schedule_turn(self) -> None:
        """Consider the queued requests soon, after a change of a load or a peer's report."""
        if self.entries_by_key:
            per_engine = TURN_BATCH_SECONDS_PER_ENGINE * self._engine_count
            self._schedule_turn_within(max(TURN_BATCH_SECONDS, per_engine))

    def _schedule_turn_within(self, seconds: float) -> None:
        call = self._turn_call
        if call is not None and call.active():
            if call.getTime() <= self.clock.seconds() + seconds:
                return
            call.cancel()
        self._turn_call = self.clock.callLater(seconds, self._run_turn)

    def _run_turn(self) -> None:
        now = self.clock.seconds()
        try:
            self._dispatch_assigned(self._assign(self._first_entries(now), [], now))
            if self.entries_by_key and now - self._reported_at >= REPEAT_SECONDS:
                self._report(now)
        finally:
            if self.entries_by_key:
                self._schedule_turn_within(POLL_SECONDS)

    def _first_entries(self, now: float) -> list[FleetEntry]:
        """The first queued requests in the order, at most ``MAX_TURN_ENTRIES``."""
        waiting = [entry for key, entry in self.entries_by_key.items() if key not in self._assigned]
        if len(waiting) <= MAX_TURN_ENTRIES:
            return waiting
        return heapq.nsmallest(
            MAX_TURN_ENTRIES, waiting, key=lambda entry: self._contender(entry, now).order
        )

    def _assign(
        self, entries: list[FleetEntry], others: list[FleetEntry], now: float, arriving=None
    ) -> Assignment:
        """Assign engines to ``entries``; the queued ``others`` count like the peers' requests."""
        engines = TurnEngines(self.placement, self.service, arriving)
        self._engine_count = engines.engine_count
        for entry, engine in self._assigned.values():
            engines.loads.add(engine.id, entry.demand)
        heads = self.head_watch.counting(self._fresh_heads(), now)
        # A peer with a fault may report a request of this gateway.
        own_keys = self.entries_by_key.keys() | {entry.key for entry in entries}
        heads = [head for head in heads if head.key not in own_keys]
        peers = [Contender(head.key, head.rank, head.slack, self._demand(head)) for head in heads]
        own = [self._contender(entry, now) for entry in entries]
        waiting = [self._contender(entry, now) for entry in others]
        assignment = assign(own, [*waiting, *peers], engines)
        self.head_watch.record_room(assignment.left_room)
        return assignment

    def _fresh_heads(self) -> list:
        if self.peers is None:
            return []
        return [head for head, _ in self.peers.fresh_heads(self.service)]

    def _demand(self, head) -> GenerationDemand:
        return GenerationDemand(
            self.engine_traits, head.expected_tokens, head.prompt_tokens, True, head.deferrable
        )

    def _contender(self, entry: FleetEntry, now: float) -> Contender:
        return entry.contender(now, self._penalty(entry))

    def _penalty(self, entry: FleetEntry) -> float:
        account = entry.request.account_name
        return 0.0 if account is None else self.accounts.penalty(account)

    def _dispatch_assigned(self, assignment: Assignment) -> None:
        """Dispatch own requests; each begins its run, and is in the loads, in its callback."""
        self._assigned = {item.key: (item.entry, engine) for item, engine in assignment.own}
        try:
            for key, (entry, engine) in list(self._assigned.items()):
                # A callback may have ended the wait of another request.
                if self._assigned.pop(key, None) is None:
                    continue
                self._stop_waiting(entry)
                self._record_dispatch(entry, engine, assignment)
                entry.result.callback(engine)
        finally:
            self._assigned = {}

    def _record_dispatch(self, entry: FleetEntry, engine, assignment: Assignment) -> None:
        now, demand = self.clock.seconds(), entry.demand
        self.history.record(now, entry.rank, demand.expected_tokens)
        if entry.request.account_name is not None:
            output = demand.expected_tokens - demand.prompt_tokens
            tokens = weighted_tokens(demand.prompt_tokens, output)
            self.accounts.record(entry.request.account_name, tokens)
        log_message(
            message_type="stream:dispatched",
            request=entry.request.metadata.id,
            endpoint=engine.id,
            rank=entry.rank,
            waited=round(now - entry.queued_at, 3),
            left_room=len(assignment.left_room),
        )

    def _log_waits(self, entry: FleetEntry, assignment: Assignment, now: float) -> None:
        own_ahead, peers_ahead = assignment.ahead[entry.key]
        penalty = self._penalty(entry)
        log_message(
            message_type="stream:waits",
            request=entry.request.metadata.id,
            waiting=len(self.entries_by_key),
            rank=entry.rank,
            late=entry.is_late(now),
            ahead=own_ahead,
            ahead_at_peers=peers_ahead,
            slack=round(entry.slack(now, penalty), 3),
            penalty=round(penalty, 3),
        )

    def _on_late(self, entry: FleetEntry) -> None:
        """Refuse the request or let it wait as late; a request with room is dispatched."""
        self._run_turn()
        if entry.key not in self.entries_by_key:
            return
        now = self.clock.seconds()
        refusal = self.refusals.on_late(entry.arrival(), self._fleet_backlog(), now)
        if refusal is not None:
            self._refuse(entry, refusal)

    def _expire(self, entry: FleetEntry) -> None:
        now = self.clock.seconds()
        self._refuse(entry, self.refusals.at_deadline(entry.arrival(), self._fleet_backlog(), now))

    def _refuse(self, entry: FleetEntry, refusal: RefusalError) -> None:
        if self._stop_waiting(entry):
            entry.result.errback(refusal)

    def _cancel(self, entry: FleetEntry) -> None:
        if self._stop_waiting(entry):
            entry.result.callback(None)

    def _stop_waiting(self, entry: FleetEntry) -> bool:
        """Remove the entry; return False if it doesn't wait any more."""
        if self.entries_by_key.pop(entry.key, None) is None:
            return False
        self._assigned.pop(entry.key, None)
        entry.cancel_timers()
        if not self.entries_by_key and self._turn_call is not None and self._turn_call.active():
            self._turn_call.cancel()
        self._report(self.clock.seconds())
        self.schedule_turn()
        return True

    def _report(self, now: float) -> None:
        self._reported_at = now
        self.on_change()

    def backlog(self) -> Backlog:
        """What waits here, and what was dispatched within ``RATE_WINDOW_SECONDS``."""
        now = self.clock.seconds()
        heads = [entry.head(now, self._penalty(entry)) for entry in self.entries_by_key.values()]
        return build_backlog(heads, self.history.since(now - RATE_WINDOW_SECONDS))

    def _fleet_backlog(self) -> Backlog:
        """The backlog of this gateway and its peers."""
        backlog = Backlog() if self.peers is None else self.peers.backlog(self.service)
        return backlog.add(self.backlog())
