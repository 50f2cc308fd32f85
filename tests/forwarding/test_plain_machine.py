"""Property tests of plain requests against endpoints with arbitrary behaviour.

Checks at-most-once execution, correct refusals, and that callers only receive their own response.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.task import Clock

from guavacleat.forwarding.plain import PlainForwarder
from guavacleat.routes import RequestKind
from tests.conftest import examples
from tests.forwarding.harness import ForwardingHarness

ENDPOINTS = ("e1", "e2", "e3", "e4")
# Endpoint actions, and whether the request counts as executed after them.
ACTIONS = {
    "answer": (lambda connection: connection.answer(body=b"own"), True),
    "fail": (lambda connection: connection.answer(500, body=b"sorry"), True),
    "refuse": (
        lambda connection: connection.answer(503, signed=False, not_run=True, id=None),
        False,
    ),
    "misdirect": (lambda connection: connection.answer(421, signed=False, id=None), False),
    "reset": (lambda connection: connection.break_connection(), True),
    "foreign": (lambda connection: connection.answer(id=b"r2", body=b"foreign"), True),
    "unsigned": (lambda connection: connection.answer(signed=False, body=b"unsigned"), True),
    "half": (
        lambda connection: (
            connection.begin(),
            connection.send_body(b"ow"),
            connection.break_connection(),
        ),
        True,
    ),
    "hang": (lambda connection: None, True),
    "leave": (None, True),
}


@settings(max_examples=examples(200))
@given(
    kind=st.sampled_from([RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT]),
    attempts=st.integers(1, 3),
    actions=st.lists(st.sampled_from(sorted(ACTIONS)), min_size=8, max_size=8),
    unreachable=st.sets(st.sampled_from(ENDPOINTS)),
)
def test_invariants_hold_for_any_endpoint_behaviour(kind, attempts, actions, unreachable):
    harness = ForwardingHarness(Clock(), names=ENDPOINTS, engine=None)
    harness.pool.refused = {(name, 80) for name in unreachable}
    request, caller = harness.request(kind=kind, attempts=attempts, timeout=0.8)
    refusals = []
    done = defer.Deferred.fromCoroutine(PlainForwarder(harness.context).forward(request))
    done.addErrback(lambda failure: refusals.append(failure.value))
    runs = []
    for number, action in enumerate(actions):
        if number >= len(harness.pool.connections):
            break
        connection = harness.pool.connections[number]
        perform, executed = ACTIONS[action]
        if executed:
            runs.append(action)
        if action == "leave":
            caller.open = False
            request.exchange.on_disconnect()
        else:
            perform(connection)
        if action == "hang":
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
