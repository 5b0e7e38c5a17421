"""When a map is worth its copies."""

from dunlinpoint.config import document as config
from dunlinpoint.experts import lead


def test_a_map_must_save_more_while_passes_are_short():
    # Pattern: a quiet day. Passes take half of the pause that callers allow;
    # all streams are in time with any map.
    assert lead.ease(90, 120) == lead.ease(200, 120) == 1.0
    assert lead.ease(45, 120) == 1 + lead.EASE / 2
    assert lead.ease(45, 0) == 1.0


def test_the_shortest_allowed_pause_of_a_service_counts():
    def route(service, pause_ms):
        return config.Route(
            service,
            "h",
            "/",
            "streaming",
            1,
            [config.Share(service)],
            pause_ms=pause_ms,
        )

    doc = config.Document(
        1, "d", routes=[route("a", 120), route("a", 80), route("a", 0), route("b", 9)]
    )
    assert lead.allowed_ms(doc, "a") == 80
    assert lead.allowed_ms(doc, "c") == 0
