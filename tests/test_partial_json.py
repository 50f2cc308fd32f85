"""JSON of which a part is nested too deeply or has numbers that are too long."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavacleat.partial_json import MAX_DEPTH, _without_excess, loads, loads_partially

DEEP = 100_000
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


def nest(depth, opening="[", inner="1", closing="]"):
    return opening * depth + inner + closing * depth


@given(VALUES, st.sampled_from([None, 1, "\n"]))
def test_a_value_within_the_limits_is_unchanged(value, indent):
    assert json.loads(_without_excess(json.dumps(value, indent=indent))) == value


@pytest.mark.parametrize(
    "odd",
    [
        nest(DEEP),
        nest(DEEP, "[ ", "", " ]"),
        nest(DEEP, '{"a":', "1", "}"),
        nest(DEEP, '[{"a":', '"]}"', "}]"),
        "9" * 5000,
        "-" + "9" * 5000 + "e5",
    ],
)
def test_the_rest_of_a_text_with_an_odd_value_is_parsed(odd):
    """Guards against one object that makes a listing of many unreadable."""
    text = f'{{"items": [{{"a": 1}}, {{"name": "odd", "spec": {odd}}}, {{"b": "]}}"}}], "end": 2}}'
    found = loads_partially(text)
    assert found["items"][0] == {"a": 1} and found["items"][2] == {"b": "]}"}
    assert found["items"][1]["name"] == "odd" and found["end"] == 2


def test_values_are_cut_below_the_greatest_depth():
    found = loads_partially(nest(DEEP))
    for _ in range(MAX_DEPTH - 1):
        [found] = found
    assert math.isnan(found[0])


@pytest.mark.parametrize("text", ["[" * DEEP, '{"' * DEEP, '"' + 'a\\"' * DEEP, "[1,", "<html>"])
def test_an_invalid_text_is_refused(text):
    """Guards against errors of other types, which would end a watch."""
    for parse in (loads, loads_partially):
        with pytest.raises(ValueError):
            parse(text)
