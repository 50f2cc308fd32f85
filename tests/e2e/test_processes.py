"""End to end as separate processes: store, two engines, two sidecars and a gateway on loopback.

Every process is started by this harness (not by a daemon) and stopped by its own pid with
SIGTERM, which must be a graceful stop (exit status 0). Waits are bounded; assertions are on what
callers received, never on timings.
"""

import signal

import pytest

from tests.e2e.processes import (
    LONG,
    STOP_TIMEOUT,
    apply_nile,
    complete,
    events_of,
    get_json,
    get_text,
    open_stream,
    wait_routable,
)

REQUESTS = 8
TOKENS_BEFORE_KILL = 5


@pytest.fixture
def system(start):
    store = start("standin", "store", "--listen=127.0.0.1:0")
    sidecars_by_name = {}
    for n in (1, 2):
        engine = start(
            "standin", "engine", "--listen=127.0.0.1:0", f"--name=e{n}", f"--output_length={LONG}"
        )
        sidecars_by_name[f"enquiry-lm-{n}"] = start(
            "sidecar",
            f"--name=enquiry-lm-{n}",
            "--service=enquiry-lm",
            "--listen=127.0.0.1:0",
            f"--engine={engine.address}",
            f"--store={store.address}",
        )
    apply_nile(store)
    gateway = start("gateway", "--listen=127.0.0.1:0", f"--store={store.address}")
    wait_routable(gateway.address)
    gateway.sidecars_by_name = sidecars_by_name
    gateway.start_another = lambda: start(
        "gateway", "--listen=127.0.0.1:0", f"--store={store.address}"
    )
    return gateway


def test_every_token_arrives_once_in_order(system):
    for n in range(REQUESTS):
        body = {
            "service": "enquiry-lm",
            "account": "carrier-delta-tel",
            "priority_class": "interactive",
            "prompt": f"summary of listing {n}",
            "max_tokens": 40,
        }
        events = complete(system.address, body)
        tokens = [event for event in events if "index" in event]
        assert [event["index"] for event in tokens] == list(range(len(tokens)))
        assert events[-1] == {"finish_reason": "stop", "tokens": len(tokens)}
    status = get_json(system.address, "/status")
    assert all(row["count"] > 0 for row in status["latency"])
    assert 'guavacleat_inter_token_seconds_bucket{account="carrier-delta-tel"' in get_text(
        system.address, "/metrics"
    )


def test_sidecar_killed_mid_stream_resumes_whole_answer(system):
    """
    Symptom: a long summary stops halfway when the endpoint serving it dies.
    Sequence: a 200-token generation starts; after 5 tokens the serving sidecar is SIGKILLed.
    Cause: without resumption the gateway's pull fails and the caller gets an error event;
    the relay must restart it elsewhere with the tokens already sent.
    """
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "inspection-prep summary",
        "max_tokens": LONG,
    }
    events = events_of(open_stream(system.address, body))
    received = [next(events) for _ in range(TOKENS_BEFORE_KILL)]
    serving = [
        name
        for name, endpoint in get_json(system.address, "/status")["endpoints"].items()
        if endpoint["in_flight"]
    ]
    assert len(serving) == 1
    system.sidecars_by_name[serving[0]].kill()
    received += list(events)
    tokens = [event for event in received if "index" in event]
    assert [event["index"] for event in tokens] == list(range(LONG))
    assert received[-1] == {"finish_reason": "stop", "tokens": LONG}
    assert get_json(system.address, "/status")["resumes"] == 1


def test_planned_stop_finishes_open_stream_and_takes_no_new_work(system):
    """
    Symptom: a planned stop cuts off a long summary, or the leaving endpoint takes new calls.
    Sequence: a 200-token generation runs on one endpoint; its sidecar gets SIGTERM after 5
    tokens; at once 4 new requests arrive.
    Cause: a stop that closed at once would cut the stream; a sidecar that wrote 'draining' to
    the store before refusing would accept requests arriving during that write.
    """
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG,
    }
    events = events_of(open_stream(system.address, body))
    received = [next(events) for _ in range(TOKENS_BEFORE_KILL)]
    endpoints = get_json(system.address, "/status")["endpoints"]
    (leaving,) = [name for name, endpoint in endpoints.items() if endpoint["in_flight"]]
    system.sidecars_by_name[leaving].process.send_signal(signal.SIGTERM)
    short = dict(body, max_tokens=10, prompt="caller intent")
    for _ in range(4):
        tokens = [event for event in complete(system.address, short) if "index" in event]
        assert [event["index"] for event in tokens] == list(range(10))
    received += list(events)
    assert [event["index"] for event in received if "index" in event] == list(range(LONG))
    assert system.sidecars_by_name[leaving].process.wait(timeout=STOP_TIMEOUT) == 0
    served = get_json(system.address, "/status")["endpoints"]
    assert served[leaving]["draining"]


def test_caller_of_a_killed_gateway_goes_on_through_another(system):
    """
    Symptom: an agent's listing summary stops halfway for good when an entry instance dies.
    Sequence: a 200-token generation runs; after 5 tokens its gateway is SIGKILLed; the caller
    reconnects to another gateway with its stream handle and the tokens it has.
    Cause: progress lived only in the dead gateway; the engine still runs the generation.
    """
    other = system.start_another()
    wait_routable(other.address)
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG,
    }
    events = events_of(open_stream(system.address, body))
    handle = next(events)["stream"]
    texts = [next(events)["text"] for _ in range(TOKENS_BEFORE_KILL)]
    system.kill()
    rest = complete(other.address, dict(body, resume={"stream": handle, "received": texts}))
    assert [event["index"] for event in rest if "index" in event] == list(range(len(texts), LONG))
    assert rest[0]["stream"] == handle, "the same generation goes on"
    assert rest[-1]["finish_reason"] == "stop"
