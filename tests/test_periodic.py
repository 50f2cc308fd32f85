"""Repeated work goes on after an error in one round."""

from guavacleat.periodic import Periodic


def test_error_in_one_round_does_not_end_the_rounds(clock):
    """
    Symptom: an endpoint's lease lapses for good, with nothing in the logs.
    Sequence: one heartbeat raises something nobody foresaw.
    Cause: a looping call ends at the first exception.
    """
    rounds = []

    def work():
        rounds.append(clock.seconds())
        if len(rounds) == 2:
            raise KeyError("unforeseen")

    periodic = Periodic(clock, 1.0, work)
    periodic.start()
    clock.pump([1.0] * 3)
    assert rounds == [0.0, 1.0, 2.0, 3.0] and periodic.errors == 1
    periodic.stop()
    periodic.stop()
    clock.advance(5)
    assert len(rounds) == 4
