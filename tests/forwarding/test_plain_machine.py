"""Whatever endpoints do, in any order: at most once, honest refusals, the own answer or none."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.routes import RequestKind
from tests.conftest import examples
from tests.forwarding.harness import ForwardingHarness

ENDPOINTS = ("e1", "e2", "e3", "e4")
# What an endpoint may do with a request, and whether it has run it then.
ACTS = {
    "answer": (lambda side: side.answer(body=b"own"), True),
    "fail": (lambda side: side.answer(500, body=b"sorry"), True),
    "refuse": (lambda side: side.answer(503, signed=False, not_run=True, id=None), False),
    "misdirect": (lambda side: side.answer(421, signed=False, id=None), False),
    "reset": (lambda side: side.break_off(), True),
    "foreign": (lambda side: side.answer(id=b"r2", body=b"foreign"), True),
    "unsigned": (lambda side: side.answer(signed=False, body=b"unsigned"), True),
    "half": (lambda side: (side.begin(), side.body_bytes(b"ow"), side.break_off()), True),
    "hang": (lambda side: None, True),
    "leave": (None, True),
}


@settings(max_examples=examples(200))
@given(
    kind=st.sampled_from([RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT]),
    attempts=st.integers(1, 3),
    acts=st.lists(st.sampled_from(sorted(ACTS)), min_size=8, max_size=8),
    unreachable=st.sets(st.sampled_from(ENDPOINTS)),
)
def test_any_behaviour_of_endpoints_keeps_the_promises(kind, attempts, acts, unreachable):
    harness = ForwardingHarness(Clock(), names=ENDPOINTS, engine=None)
    harness.pool.refused = {(name, 80) for name in unreachable}
    request, caller = harness.request(kind=kind, attempts=attempts, timeout=0.8)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    runs = []
    for number, act in enumerate(acts):
        if number >= len(harness.pool.connections):
            break
        side = harness.pool.connections[number]
        play, has_run = ACTS[act]
        if has_run:
            runs.append(act)
        if act == "leave":
            caller.open = False
            request.exchange.on_gone()
        else:
            play(side)
        if act == "hang":
            harness.clock.advance(0.8)
    if kind is RequestKind.NON_IDEMPOTENT:
        assert len(runs) <= 1
    assert len(runs) <= attempts
    if refusals and refusals[0].reason.status == 503:
        assert runs == []
    if caller.complete:
        assert caller.data in (b"own", b"sorry")
        assert (caller.head[0] == 200) == (caller.data == b"own")
    assert harness.load.runs_by_endpoint == {}
