"""A rank's agent announces a change of its engine's pace at once."""

import types

import attrs
from twisted.internet import defer, task

from dunlinpoint.experts import aggregation, rank
from dunlinpoint.wire.gen.dunlin import ttypes

QUERY = aggregation.Question(counts=False, experts=False, leading=True)


@attrs.define
class Engine:
    pace: int | None = 1000
    address: str = "h:1"

    def state(self, experts=False):
        return defer.succeed(ttypes.RankState(group="g", open=True, pace=self.pace))


def test_a_change_of_a_tenth_is_announced_at_the_next_query():
    # Guards against entries that load a slow rank until its next regular heartbeat.
    sent, engine = [], Engine()
    announcer = types.SimpleNamespace(send_heartbeat=sent.append)
    handler = rank.Handler.from_config(task.Clock(), engine)
    rank.announce_pace_changes(handler, announcer, rank.Address("z", "h", 2))
    for pace in (1000, 1099, 1600, 1650, 1600, None):
        engine.pace = pace
        handler.answer_locally(QUERY)
    assert [heartbeat.pace for heartbeat in sent] == [1600, None]
    assert sent[0].kind == "rank" and sent[0].engine == "h:1"
