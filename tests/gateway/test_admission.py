"""Admission limits per client account, and validation of completion requests."""

import json
from pathlib import Path

import pytest

import guavacleat
from guavacleat.admission.account_limit import AccountQueueLimit
from guavacleat.config import load_settings
from guavacleat.errors import NotRunError
from guavacleat.gateway.requests import RequestError, parse_completion

NILE = load_settings(Path(guavacleat.__file__).parent / "examples" / "nile.json5")


def test_account_over_its_limit_is_refused_and_others_are_admitted():
    admission = AccountQueueLimit()
    bound = NILE.limits.queue_per_account
    for _ in range(bound):
        admission.enter(NILE.limits, "carrier-04")
    with pytest.raises(NotRunError) as caught:
        admission.enter(NILE.limits, "carrier-04")
    assert caught.value.retry_after == NILE.limits.retry_after
    admission.enter(NILE.limits, "carrier-05")
    admission.leave("carrier-04")
    admission.enter(NILE.limits, "carrier-04")


BAD_REQUESTS = [
    ({"service": "nope"}, None, "service"),
    ({"account": "stranger"}, None, "account"),
    ({"priority_class": ["x"]}, None, "priority_class"),
    ({"max_tokens": 0}, None, "max_tokens"),
    ({"prompt": ""}, None, "prompt"),
    ({"service": "switchboard"}, None, "idempotency key"),
    ({"resume": {"received": ["x"]}}, None, "stream"),
    ({"resume": {"stream": "junk", "received": []}}, None, "stream"),
    ({"resume": "junk"}, None, "tokens received"),
]


@pytest.mark.parametrize("change,key,named", BAD_REQUESTS)
def test_invalid_request_is_refused_with_field_and_remedy(change, key, named):
    body = {
        "service": "enquiry-lm",
        "account": "carrier-04",
        "priority_class": "interactive",
        "prompt": "hello",
        "max_tokens": 5,
        **change,
    }
    with pytest.raises(RequestError) as caught:
        parse_completion(json.dumps(body).encode(), key, NILE, 0.0)
    assert named in str(caught.value) and "Remedy:" in str(caught.value)
