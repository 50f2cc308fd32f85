"""End to end as separate processes: store, two engines, two sidecars and a gateway on loopback.

Every process must exit with status 0 on SIGTERM. Assertions are on what callers received, not on
timings.
"""

import signal

import pytest

from tests.e2e.processes import (
    LONG_OUTPUT_TOKENS,
    STOP_TIMEOUT_SECONDS,
    apply_nile,
    complete,
    get_json,
    get_text,
    open_stream,
    read_events,
    run_ctl,
    wait_until_live,
    wait_until_routable,
)

REQUESTS = 8
TOKENS_BEFORE_KILL = 5


@pytest.fixture
def system(start):
    store = start("standin", "store", "--listen=127.0.0.1:0")
    sidecars_by_name = {}
    for n, data_centre in ((1, "north"), (2, "south")):
        engine = start(
            "standin",
            "engine",
            "--listen=127.0.0.1:0",
            f"--name=e{n}",
            f"--output_length={LONG_OUTPUT_TOKENS}",
        )
        sidecars_by_name[f"enquiry-lm-{n}"] = start(
            "sidecar",
            f"--name=enquiry-lm-{n}",
            "--service=enquiry-lm",
            f"--data_centre={data_centre}",
            "--listen=127.0.0.1:0",
            f"--engine={engine.address}",
            f"--store={store.address}",
        )
    apply_nile(store)
    gateway = start("gateway", "--listen=127.0.0.1:0", f"--store={store.address}")
    wait_until_routable(gateway.address)
    gateway.sidecars_by_name = sidecars_by_name
    gateway.store = store
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


def test_evacuated_data_centre_gets_no_new_streams(system):
    """Guards against streams that start at an endpoint of an evacuated data centre."""
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "caller intent",
        "max_tokens": 10,
    }
    run_ctl(system.store, "evacuate", "north")
    wait_until_live(system.address, "enquiry-lm", ["enquiry-lm-2"])
    assert get_json(system.address, "/status")["evacuated_data_centres"] == ["north"]
    assert "north: evacuated" in run_ctl(system.store, "status")
    for _ in range(4):
        assert complete(system.address, body)[-1]["finish_reason"] == "stop"
    run_ctl(system.store, "restore", "north")
    wait_until_live(system.address, "enquiry-lm", ["enquiry-lm-1", "enquiry-lm-2"])


def test_stream_is_resumed_after_its_sidecar_is_killed(system):
    """Guards against an incomplete stream when the sidecar that serves it is killed."""
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "inspection-prep summary",
        "max_tokens": LONG_OUTPUT_TOKENS,
    }
    events = read_events(open_stream(system.address, body))
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
    assert [event["index"] for event in tokens] == list(range(LONG_OUTPUT_TOKENS))
    assert received[-1] == {"finish_reason": "stop", "tokens": LONG_OUTPUT_TOKENS}
    assert get_json(system.address, "/status")["resumes"] == 1


def test_graceful_stop_finishes_open_stream_and_refuses_new_requests(system):
    """
    Guards against a sidecar that cuts its stream on SIGTERM, or accepts requests while it writes
    its draining state to the store.
    """
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG_OUTPUT_TOKENS,
    }
    events = read_events(open_stream(system.address, body))
    received = [next(events) for _ in range(TOKENS_BEFORE_KILL)]
    endpoints = get_json(system.address, "/status")["endpoints"]
    (leaving,) = [name for name, endpoint in endpoints.items() if endpoint["in_flight"]]
    system.sidecars_by_name[leaving].process.send_signal(signal.SIGTERM)
    short = dict(body, max_tokens=10, prompt="caller intent")
    for _ in range(4):
        tokens = [event for event in complete(system.address, short) if "index" in event]
        assert [event["index"] for event in tokens] == list(range(10))
    received += list(events)
    assert [event["index"] for event in received if "index" in event] == list(
        range(LONG_OUTPUT_TOKENS)
    )
    assert system.sidecars_by_name[leaving].process.wait(timeout=STOP_TIMEOUT_SECONDS) == 0
    served = get_json(system.address, "/status")["endpoints"]
    assert served[leaving]["draining"]


def test_stream_of_killed_gateway_continues_through_another(system):
    """
    Guards against a stream that is lost with its gateway: the caller must be able to resume it
    through another one with the stream handle and the tokens received.
    """
    other = system.start_another()
    wait_until_routable(other.address)
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "standard",
        "prompt": "long listing summary",
        "max_tokens": LONG_OUTPUT_TOKENS,
    }
    events = read_events(open_stream(system.address, body))
    handle = next(events)["stream"]
    texts = [next(events)["text"] for _ in range(TOKENS_BEFORE_KILL)]
    system.kill()
    rest = complete(other.address, dict(body, resume={"stream": handle, "received": texts}))
    assert [event["index"] for event in rest if "index" in event] == list(
        range(len(texts), LONG_OUTPUT_TOKENS)
    )
    assert rest[0]["stream"] == handle, "the same generation continues"
    assert rest[-1]["finish_reason"] == "stop"
