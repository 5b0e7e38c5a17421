"""When a map is worth its copies."""

from twisted.internet import task

from dunlinpoint import clock
from dunlinpoint.experts import lead


def leading():
    reactor = task.Clock()
    return lead.Lead(None, None, clock.Clock(reactor), None, "s", None, None)


def test_a_map_is_left_alone_until_it_shows_what_it_comes_to():
    # Pattern: demand that is the same on average while each second's requests
    # differ. Symptom: maps changed each 1.4 s, most passes longer for copies.
    # Cause: a map was compared with what the next one promised, not with what
    # maps came to.
    found = leading()
    assert not found.settles(3.4, 0)
    found.switched_ms = 0
    assert found.settles(1.5, 1000)
    assert not found.settles(lead.URGENT_SKEW, 1000)
    assert not found.settles(1.5, lead.SETTLE_MS)
    assert found.floor == 1 + lead.FLOOR_SHARE * (lead.FLOOR_MOST - 1)
    assert not found.settles(1.5, lead.SETTLE_MS + 1)
    assert found.floor == 1 + lead.FLOOR_SHARE * (lead.FLOOR_MOST - 1)
