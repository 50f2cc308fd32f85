"""The product's own header names."""

import pytest

from guavacleat.forwarding.native import NativeWire


def test_what_a_caller_says_is_read_under_its_own_names():
    """
    Symptom: with a routes file every generation counts as one of unknown length.
    Sequence: a caller names its prompt and its longest output; only the prompt is read.
    Cause: a bound on numbers had taken the name of the header's constant.
    """
    headers = [
        (b"x-request-id", b"r1"),
        (b"x-api-key", b"k1"),
        (b"x-deadline", b"1.5"),
        (b"x-prompt-tokens", b"3000"),
        (b"x-max-tokens", b"900"),
    ]
    facts = NativeWire().caller_facts(headers)
    assert (facts.id, facts.key, facts.patience) == ("r1", "k1", 1.5)
    assert (facts.prompt_tokens, facts.max_output_tokens) == (3000, 900)


@pytest.mark.parametrize("number", [b"inf", b"nan", b"-7", b"9" * 40, b"x", b""])
def test_odd_numbers_stay_in_bounds(number):
    names = (b"x-deadline", b"x-prompt-tokens", b"x-max-tokens")
    facts = NativeWire().caller_facts([(name, number) for name in names])
    assert facts.patience is None or 0 <= facts.patience < float("inf")
    assert 0 <= facts.prompt_tokens <= 10**9 and 0 <= facts.max_output_tokens <= 10**9
