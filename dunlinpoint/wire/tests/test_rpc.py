"""Links: what a failed call may look like to its caller."""

from thrift import Thrift
from twisted.internet import defer, task

from dunlinpoint.wire import errors, rpc


class FailingClient:
    def heartbeat(self):
        return defer.fail(Thrift.TApplicationException(message="Internal error"))


def test_a_peer_that_fails_within_is_a_wire_error():
    # Symptom: an agent drops out of membership for good. Sequence: one
    # heartbeat meets an internal error at control. Cause: the library's
    # error passed through as it was, and ended the agent's heartbeat loop.
    link = rpc.Link(task.Clock(), "127.0.0.1", 1, None, 1000)
    link._connect = lambda: defer.succeed(FailingClient())
    failures = []
    link.call("heartbeat").addErrback(failures.append)
    assert failures[0].check(errors.PeerFailed)
    assert isinstance(failures[0].value, errors.WireError)
