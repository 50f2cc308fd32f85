"""Periodic tasks continue after an error."""

from guavacleat.periodic import Periodic


def test_exception_does_not_stop_the_loop(clock):
    """Guards against heartbeats that stop silently, since a LoopingCall ends at an exception."""
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
