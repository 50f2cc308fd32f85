"""Non-repeatable calls, end to end: a plain service behind two gateways."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.e2e.processes import apply_nile, get_json, post, wait_until_routable

CALL = {
    "service": "switchboard",
    "account": "carrier-04",
    "priority_class": "interactive",
    "prompt": "connect 0223456789",
}
ANSWER = "done: connect 0223456789"
MAX_RETRIES = 20


class System:
    """A store, a plain service and gateways, each a process."""

    def __init__(self, store, service, gateways):
        self.store = store
        self.service = service
        self.gateways = gateways

    def call(self, gateway: int, key: str):
        """Make the call through one gateway; return its status, headers and tokens."""
        status, headers, text = post(self.gateways[gateway].address, "/v1/completions", CALL, key)
        events = [line.removeprefix("data: ") for line in text.split("\n\n") if "index" in line]
        return status, headers, [json.loads(event)["text"] for event in events]

    def call_until_final(self, gateway: int, key: str):
        """Retry after each Retry-After, as a client does, until the answer is final."""
        for _ in range(MAX_RETRIES):
            status, headers, tokens = self.call(gateway, key)
            if headers["Retry-After"] is None:
                return status, tokens
            time.sleep(int(headers["Retry-After"]))
        raise AssertionError(f"no final answer for {key}")

    def runs(self) -> dict:
        return get_json(self.service.address, "/v1/runs")["runs"]


@pytest.fixture
def system(start):
    store = start("standin", "store")
    service = start("standin", "services", "--work_ms=200")
    start(
        "sidecar",
        "--kind=plain",
        "--name=switchboard-1",
        "--service=switchboard",
        f"--engine={service.address}",
        f"--store={store.address}",
    )
    apply_nile(store)
    gateways = [start("gateway", f"--store={store.address}") for _ in range(2)]
    for gateway in gateways:
        wait_until_routable(gateway.address, endpoints=1)
    return System(store, service, gateways)


def test_same_call_through_two_gateways_runs_once(system):
    """Guards against running a call twice when it is sent through two gateways at once."""
    with ThreadPoolExecutor(2) as pool:
        outcomes = list(pool.map(lambda gateway: system.call(gateway, "conn-1"), (0, 1)))
    assert {status for status, _, _ in outcomes} in ({200}, {200, 409})
    assert all(int(headers["Retry-After"]) >= 1 for status, headers, _ in outcomes if status == 409)
    assert [system.call_until_final(gateway, "conn-1") for gateway in (0, 1)] == [
        (200, [ANSWER])
    ] * 2
    assert system.runs() == {"connect 0223456789": 1}


def test_call_whose_answer_was_lost_is_not_run_again(system):
    """Guards against running a call again through another gateway after its answer was lost."""
    post(system.service.address, "/v1/faults", {"lose_answers": 1})
    status, _, tokens = system.call(0, "conn-1")
    assert (status, tokens) == (200, []), "the stream ends in an error event"
    assert system.call_until_final(1, "conn-1") == (409, [])
    assert system.runs() == {"connect 0223456789": 1}


def test_store_outage_refuses_the_call_as_not_run(system):
    """Guards against running a call that cannot be recorded because the store is down."""
    post(system.store.address, "/v1/faults", {"outage": True})
    status, headers, _ = system.call(0, "conn-1")
    assert status == 429 and int(headers["Retry-After"]) >= 1 and system.runs() == {}
    post(system.store.address, "/v1/faults", {"outage": False})
    statuses = [system.call(1, f"conn-{n}")[0] for n in (2, 3)]
    assert statuses == [200, 200] and system.runs() == {"connect 0223456789": 2}


def test_call_whose_record_the_store_lost_is_not_run_again(system):
    """Guards against running a call again after the store was restored from a copy without it."""
    post(system.store.address, "/v1/copy", {})
    status, _, tokens = system.call(0, "conn-1")
    assert (status, tokens) == (200, [ANSWER])
    post(system.store.address, "/v1/restore", {})
    assert system.call_until_final(1, "conn-1") == (200, [ANSWER])
    assert system.runs() == {"connect 0223456789": 1}
