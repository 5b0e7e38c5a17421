"""Orders that travel against the one before."""

import json
import random
import zlib

import pytest

from dunlinpoint.experts import orders

RANKS, SETS, EXPERTS = 72, 12, 144


def texts(count, seed=1):
    """Orders to prepare maps, of which each changes some of the one before."""
    rng = random.Random(seed)
    mapping = [
        [[rng.randrange(EXPERTS) for _ in range(3)] for _ in range(RANKS)]
        for _ in range(SETS)
    ]
    for version in range(1, count + 1):
        for _ in range(150):
            held = rng.choice(rng.choice(mapping))
            held[rng.randrange(len(held))] = rng.randrange(EXPERTS)
        order = {"operation": "prepare", "version": version, "mapping": mapping}
        yield json.dumps(order, separators=(",", ":"))


def receive(known, base, packed):
    """What an agent that knows the texts *known* does: the text, or ``None``."""
    text = known.get(base)
    if text is None:
        return None
    found = orders.unpack(packed, text)
    known.keep(found)
    return found


def test_a_map_travels_as_what_changed():
    # Pattern: a large group whose demand jumps every few seconds. Symptom: each map
    # 0.6 to 0.8 s after it was planned, most of it the lead's link. Grounds of the
    # bound: 1.1 to 1.4 KB against 3.4 KB for maps that a planner made one after the
    # other.
    sender, known = orders.Sender(), orders.Texts()
    sizes = []
    for text in texts(5):
        base, packed = sender.pack(3, text)
        assert receive(known, base, packed) == text
        sender.taken(3, text)
        sizes.append(len(packed))
    assert max(sizes[1:]) < 0.5 * sizes[0], sizes


def test_an_agent_that_restarted_is_sent_the_whole():
    # Symptom: a rank that never holds a map again, or holds another one. Sequence: an
    # agent restarts between two maps and has none of the texts before.
    sender = orders.Sender()
    first, second = texts(2)
    sender.pack(3, first)
    sender.taken(3, first)
    base, packed = sender.pack(3, second)
    assert base != orders.NO_BASE
    assert receive(orders.Texts(), base, packed) is None
    sender.forget(3)
    base, packed = sender.pack(3, second)
    assert (base, receive(orders.Texts(), base, packed)) == (orders.NO_BASE, second)


def test_an_order_that_was_not_answered_is_no_base():
    # Symptom: an agent is sent changes to a map that it never got, again and again.
    sender = orders.Sender()
    first, second = texts(2)
    sender.pack(3, first)
    assert sender.pack(3, second)[0] == orders.NO_BASE


def test_another_base_is_no_base():
    # Symptom feared: a map put together from changes to another one. The compression
    # carries a checksum of its dictionary and one of the text.
    first, second = texts(2)
    packed = orders.pack(second, first)
    with pytest.raises(zlib.error):
        orders.unpack(packed, second)


def test_texts_are_bounded():
    known = orders.Texts()
    for text in texts(10):
        known.keep(text)
    assert len(known.text_by_checksum) == orders.KEPT
