"""Malformed heartbeats from foreign clients are refused.

Guards against entries that refuse every request ("no_endpoint"), at every control at
once: a foreign client sent a heartbeat with a number as its zone, or with a name that
cannot be encoded as UTF-8. It became a member, and each member list that contained it
failed to serialise.
"""

import json

import hypothesis
import pytest
from hypothesis import strategies
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from dunlinpoint.control import membership
from dunlinpoint.platform import documents, fields
from dunlinpoint.wire.gen.dunlin import ttypes

VALID = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "accra-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seqNo": 4,
}
INVALID = {
    "service": [None, 7, "", ["a"], "\ud800", "x" * 1000],
    "address": [None, 7, "", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:65536"],
    "zone": [None, 7, "", {}, ["accra-a"]],
    "slots": [None, "6", 0, -1, 2**31, True, 6.0],
    "state": [None, "", "Ready", "leaving", 1, ["ready"], {}],
    "seqNo": [None, "4", -1, 2**63, True, 4.5],
    "born": [None, "7", -1, 0, 1.5, True, 2**63],
}
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text()
)
JSON = (
    SCALARS
    | strategies.lists(SCALARS, max_size=2)
    | strategies.dictionaries(strategies.text(max_size=3), SCALARS, max_size=2)
)


def heartbeat(**changed):
    return documents.to_heartbeat("i-1", json.dumps(VALID | changed).encode())


def round_trip(members):
    """*members* serialised and parsed again, as in a control's reply."""
    transport = TTransport.TMemoryBuffer()
    ttypes.View(members=members).write(TBinaryProtocol.TBinaryProtocol(transport))
    read = ttypes.View()
    buffered = TTransport.TMemoryBuffer(transport.getvalue())
    read.read(TBinaryProtocol.TBinaryProtocol(buffered))
    return read.members


def test_a_valid_heartbeat_is_accepted():
    message = heartbeat()
    assert (message.host, message.port, message.slots) == ("10.128.0.9", 8080, 6)
    assert not message.draining and message.incarnation == 0
    assert heartbeat(state="draining").draining
    assert heartbeat(born=1789070167009).incarnation == 1789070167009


@pytest.mark.parametrize(
    ("field", "value"), [(f, v) for f, values in INVALID.items() for v in values]
)
def test_an_invalid_field_is_refused(field, value):
    with pytest.raises(fields.FieldError):
        heartbeat(**{field: value})


@pytest.mark.parametrize("field", sorted(set(INVALID) - {"born"}))
def test_a_missing_field_is_refused(field):
    raw = {name: value for name, value in VALID.items() if name != field}
    with pytest.raises(fields.FieldError):
        documents.to_heartbeat("i-1", json.dumps(raw).encode())


@pytest.mark.parametrize(
    "body", [b"", b"null", b"[]", b'"x"', b"\xff\xfe", b"[" * 50_000, b" " * 2**20]
)
def test_a_malformed_body_is_refused(body):
    with pytest.raises(fields.FieldError):
        documents.to_heartbeat("i-1", body)


@hypothesis.settings(deadline=None)
@hypothesis.given(strategies.sampled_from(sorted(VALID)), JSON)
def test_an_accepted_heartbeat_can_be_serialised(field, value):
    try:
        message = heartbeat(**{field: value})
    except fields.FieldError:
        return
    members = membership.Membership()
    members.renew(message, 0)
    (member,) = round_trip(members.members(0))
    assert member.endpoint_id == "i-1"


def test_a_foreign_heartbeat_does_not_move_a_live_endpoint():
    # Guards against requests of one service that reach a server of another: a
    # heartbeat had the id of a live endpoint, a higher sequence number and another
    # address or service, and the last heartbeat of an id determined its address.
    members = membership.Membership()
    members.renew(heartbeat(), 0)
    for changed in ({"address": "10.9.9.9:80"}, {"service": "other"}, {"zone": "z"}):
        assert not members.renew(heartbeat(seqNo=9, **changed), 10)
    (member,) = members.members(10)
    assert (member.host, member.service_name) == ("10.128.0.9", "huvo11a")


def test_a_deregister_call_names_the_incarnation():
    assert documents.to_incarnation(b"") is None
    assert documents.to_incarnation(b'{"born": 12}') == 12
    for body in (b"[]", b'{"born": "12"}', b"\xff"):
        with pytest.raises(fields.FieldError):
            documents.to_incarnation(body)
