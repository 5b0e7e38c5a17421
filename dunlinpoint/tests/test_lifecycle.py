"""The lifecycle states are passed in one direction only."""

from dunlinpoint import lifecycle


def test_drain_then_close():
    process = lifecycle.begin()
    assert not process.is_draining() and not process.is_stopping()
    process.drain()
    assert process.is_draining() and not process.is_stopping()
    process.close()
    assert process.is_draining() and process.is_stopping()


def test_a_second_signal_does_not_restart_serving():
    # Guards against an instance that is being stopped and accepts work again: after
    # SIGTERM and the end of the drain period, a second SIGTERM reopened it, because
    # each signal handler set its own flag.
    process = lifecycle.begin()
    process.drain()
    process.close()
    process.drain()
    assert process.is_stopping()
