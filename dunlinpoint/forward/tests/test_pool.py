"""Reuse of idle connections."""

from dunlinpoint.forward import pool


def connection(idle_since_ms=0):
    found = pool.Connection(lambda _: None)
    found.idle_since_ms = idle_since_ms
    return found


def test_a_connection_is_reused_up_to_its_maximum_idle_time():
    found = connection()
    assert found.is_usable(pool.MAX_IDLE_MS, pool.MAX_IDLE_MS)
    assert not found.is_usable(pool.MAX_IDLE_MS + 1, pool.MAX_IDLE_MS * 4)
    assert not found.is_usable(
        pool.UNREPEATABLE_MAX_IDLE_MS + 1, pool.UNREPEATABLE_MAX_IDLE_MS
    )


def test_a_connection_with_extra_bytes_is_not_reused():
    # Guards against a caller that receives bytes of no request: an endpoint sends extra
    # bytes after a complete response, and the connection is used again.
    found = connection()
    found.has_extra_bytes = True
    assert not found.is_usable(0, pool.MAX_IDLE_MS)


def test_the_keep_alive_timeout_limits_reuse():
    found = connection()
    found.idle_limit_ms = 300
    assert not found.is_usable(301, pool.MAX_IDLE_MS)
