"""Calls that may not be repeated, end to end: a plain service behind two gateways."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.e2e.processes import apply_nile, get_json, post, wait_routable

CALL = {
    "service": "switchboard",
    "account": "carrier-04",
    "priority_class": "interactive",
    "prompt": "connect 0223456789",
}
ANSWER = "done: connect 0223456789"
MOST_RETRIES = 20


class Site:
    """The addresses of one started system."""

    def __init__(self, store, service, gateways):
        self.store = store
        self.service = service
        self.gateways = gateways

    def call(self, gateway: int, key: str):
        """Make the call through one gateway; return its status and the answer's tokens."""
        status, headers, text = post(self.gateways[gateway].address, "/v1/completions", CALL, key)
        events = [line.removeprefix("data: ") for line in text.split("\n\n") if "index" in line]
        return status, headers, [json.loads(event)["text"] for event in events]

    def final(self, gateway: int, key: str):
        """Call again as told by Retry-After, as a client does, until the answer is final."""
        for _ in range(MOST_RETRIES):
            status, headers, tokens = self.call(gateway, key)
            if headers["Retry-After"] is None:
                return status, tokens
            time.sleep(int(headers["Retry-After"]))
        raise AssertionError(f"no final answer for {key}")

    def runs(self) -> dict:
        return get_json(self.service.address, "/v1/runs")["runs"]


@pytest.fixture
def site(start):
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
        wait_routable(gateway.address, endpoints=1)
    return Site(store, service, gateways)


def test_same_call_through_two_gateways_runs_once(site):
    """
    Symptom: a subscriber is charged twice for one connection.
    Sequence: the client gives up on one gateway and sends the same call to another at once.
    Cause: two gateways share no memory; only a record made before the call can stop the second.
    """
    with ThreadPoolExecutor(2) as pool:
        outcomes = list(pool.map(lambda gateway: site.call(gateway, "conn-1"), (0, 1)))
    assert {status for status, _, _ in outcomes} in ({200}, {200, 409})
    assert all(int(headers["Retry-After"]) >= 1 for status, headers, _ in outcomes if status == 409)
    assert [site.final(gateway, "conn-1") for gateway in (0, 1)] == [(200, [ANSWER])] * 2
    assert site.runs() == {"connect 0223456789": 1}


def test_call_whose_answer_is_lost_is_not_run_again(site):
    """
    Symptom: as above, when the service's answer is lost and the client retries.
    Sequence: the service runs the call; its answer is lost; the client retries elsewhere.
    Cause: nobody knows whether it ran, so nobody may run it again.
    """
    post(site.service.address, "/v1/faults", {"lose_answers": 1})
    status, _, tokens = site.call(0, "conn-1")
    assert (status, tokens) == (200, []), "the stream ends in an error event"
    assert site.final(1, "conn-1") == (409, [])
    assert site.runs() == {"connect 0223456789": 1}


def test_store_outage_refuses_the_call_as_not_run(site):
    """
    Symptom: a slot is confirmed twice around an outage of the platform's store.
    Sequence: the store is down; a call comes; the store is back; the client retries.
    Cause: without the store the call cannot be recorded, so it must not be made.
    """
    post(site.store.address, "/v1/faults", {"outage": True})
    status, headers, _ = site.call(0, "conn-1")
    assert status == 429 and int(headers["Retry-After"]) >= 1 and site.runs() == {}
    post(site.store.address, "/v1/faults", {"outage": False})
    statuses = [site.call(1, f"conn-{n}")[0] for n in (2, 3)]
    assert statuses == [200, 200] and site.runs() == {"connect 0223456789": 2}


def test_a_call_whose_record_the_store_lost_is_not_run_again(site):
    """Guards against a retry through another gateway after the store came back from a copy."""
    post(site.store.address, "/v1/copy", {})
    status, _, tokens = site.call(0, "conn-1")
    assert (status, tokens) == (200, [ANSWER])
    post(site.store.address, "/v1/restore", {})
    assert site.final(1, "conn-1") == (200, [ANSWER])
    assert site.runs() == {"connect 0223456789": 1}
