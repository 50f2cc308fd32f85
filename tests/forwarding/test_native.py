"""Tests of the default header names."""

import pytest

from guavacleat.forwarding.native import NativeWire


def test_request_metadata_is_parsed_from_default_headers():
    """Guards against ignoring the header with the maximum output length."""
    headers = [
        (b"x-request-id", b"r1"),
        (b"x-api-key", b"k1"),
        (b"x-deadline", b"1.5"),
        (b"x-prompt-tokens", b"3000"),
        (b"x-max-tokens", b"900"),
        (b"x-prompt-parts", b"a1:300, b2:1700, c3:1000"),
    ]
    metadata = NativeWire().parse_request_metadata(headers)
    assert (metadata.id, metadata.key, metadata.caller_timeout) == ("r1", "k1", 1.5)
    assert (metadata.prompt_tokens, metadata.max_output_tokens) == (3000, 900)
    assert metadata.shared_part_ids == ("a1", "b2")


@pytest.mark.parametrize("number", [b"inf", b"nan", b"-7", b"9" * 40, b"x", b""])
def test_invalid_numbers_are_clamped(number):
    names = (b"x-deadline", b"x-prompt-tokens", b"x-max-tokens")
    metadata = NativeWire().parse_request_metadata([(name, number) for name in names])
    assert metadata.caller_timeout is None or 0 <= metadata.caller_timeout < float("inf")
    assert 0 <= metadata.prompt_tokens <= 10**9 and 0 <= metadata.max_output_tokens <= 10**9
