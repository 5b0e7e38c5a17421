"""Reuse of idle connections."""

from dunlinpoint.forward import pool
from dunlinpoint.routing import budget


def connection(idle_since_ms=0):
    found = pool.Connection(lambda _: None)
    found.idle_since_ms = idle_since_ms
    return found


def test_a_connection_is_used_again_while_it_is_fresh():
    found = connection()
    assert found.usable(pool.IDLE_MS, pool.IDLE_MS)
    assert not found.usable(pool.IDLE_MS + 1, pool.IDLE_MS * 4)
    assert not found.usable(pool.FRESH_MS + 1, pool.FRESH_MS)


def test_bytes_after_an_answer_end_a_connections_use():
    # Guards against a caller that receives bytes of no request: an endpoint sends extra
    # bytes after a complete response, and the connection is used again.
    found = connection()
    found.has_extra = True
    assert not found.usable(0, pool.IDLE_MS)


def test_a_promise_to_keep_alive_bounds_the_use():
    found = connection()
    found.idle_limit_ms = 300
    assert not found.usable(301, pool.IDLE_MS)


def test_retries_are_earned_spent_and_capped():
    # All endpoints of a service fail, so every request needs a second attempt.
    spent = budget.Budget()
    allowed = 0
    for _ in range(400):
        spent.earn("s")
        allowed += spent.spend("s")
    assert allowed <= spent.cap + 400 * spent.ratio
    assert allowed > 300 * spent.ratio
