"""A process moves only forward through its life."""

from dunlinpoint import lifecycle


def test_drain_then_close():
    process = lifecycle.begin()
    assert not process.is_draining() and not process.is_stopping()
    process.drain()
    assert process.is_draining() and not process.is_stopping()
    process.close()
    assert process.is_draining() and process.is_stopping()


def test_a_second_signal_does_not_open_it_again():
    # Symptom: an instance that is being stopped takes work again. Sequence:
    # SIGTERM, the window closes, SIGTERM once more. Cause: a flag set by
    # each signal handler for itself.
    process = lifecycle.begin()
    process.drain()
    process.close()
    process.drain()
    assert process.is_stopping()
