"""Tests of forecasts of output lengths."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavacleat.lengths import LengthForecast


def test_initial_forecast_is_a_share_of_the_longest():
    assert 0.3 < LengthForecast(2000).expected_length(0, None) / 2000 < 0.5


def test_finished_lengths_replace_the_initial_samples():
    forecast = LengthForecast(2000)
    for _ in range(200):
        forecast.record_finished(100, None)
    assert forecast.expected_length(0, None) == 100


def test_forecast_is_conditional_on_the_emitted_tokens():
    forecast = LengthForecast(2000)
    for number in range(100):
        forecast.record_finished(1500 if number % 10 == 0 else 100, None)
    assert forecast.expected_length(0, None) < 400
    assert forecast.expected_length(200, None) == 1500
    assert forecast.expected_length(1800, None) > 1800


def test_noisy_hints_improve_the_forecast():
    """Forecasts with hints off by a factor of three beat both the mean length and the bare hint."""
    draw = random.Random(1)
    lengths = [min(2200, int(draw.lognormvariate(math.log(650), 0.84))) + 1 for _ in range(400)]
    hinted = [(length, length * draw.lognormvariate(0, 1.2)) for length in lengths]
    forecast = LengthForecast(2200)
    for length, hint in hinted[:200]:
        forecast.record_finished(length, hint)
    mean = sum(lengths[:200]) / 200

    def error(guess):
        return sum(abs(guess(hint) - length) for length, hint in hinted[200:]) / 200

    with_both = error(lambda hint: forecast.expected_length(0, hint))
    assert with_both < 0.92 * error(lambda hint: mean)
    assert with_both < 0.85 * error(lambda hint: min(hint, 2200))


def test_exact_hints_determine_the_forecast():
    draw = random.Random(1)
    forecast = LengthForecast(2000)
    for _ in range(300):
        length = draw.randint(50, 2000)
        forecast.record_finished(length, length)
    assert abs(forecast.expected_length(0, 1000.0) - 1000) < 200


@given(
    st.integers(1, 10**6),
    st.lists(st.tuples(st.integers(0, 10**6), st.none() | st.floats())),
    st.integers(0, 10**6),
    st.none() | st.floats(),
)
def test_forecast_exceeds_the_emitted_tokens(longest, finished, emitted, hint):
    forecast = LengthForecast(longest)
    for length, its_hint in finished:
        forecast.record_finished(length, its_hint)
    assert forecast.expected_length(emitted, hint) > emitted or emitted == 0


@pytest.mark.parametrize("hint", [float("inf"), float("nan"), -5.0, 0.0, 1e300])
def test_invalid_hint_does_not_affect_other_forecasts(hint):
    """A finished generation with an infinite hint must not turn later forecasts into NaN."""
    forecast = LengthForecast(2000)
    forecast.record_finished(100, hint)
    assert 0 < forecast.expected_length(0, 500.0) <= 2000
    assert 0 < forecast.expected_length(0, hint) <= 2000
