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


class Reactor:
    """Calls to be made later, in the order in which they were asked for."""

    def __init__(self):
        self.calls = []

    def callLater(self, _delay, func, *args):
        call = task.Clock().callLater(0, func, *args)
        self.calls.append(call)
        return call

    def run_due(self):
        calls, self.calls = self.calls, []
        for call in calls:
            if call.active():
                call.called = 1
                call.func(*call.args)


def test_an_answer_that_waits_to_be_read_is_not_late():
    # Symptom: a lead takes 70 ranks for silent at once and calls each one's engine;
    # a change of map takes 2.8 s. Sequence: the process is busy for longer than the
    # timeout; answers arrive meanwhile; timers are due before connections are read.
    # Cause: giving up in the timer.
    reactor, answer, heard = Reactor(), defer.Deferred(), []
    link = rpc.Link(reactor, "127.0.0.1", 1, None, 250)

    class Client:
        def load(self):
            return answer

    link._connect = lambda: defer.succeed(Client())
    link.call("load").addBoth(heard.append)
    reactor.run_due()
    answer.callback("read after the timer")
    reactor.run_due()
    assert heard == ["read after the timer"]


def test_an_answer_that_never_comes_is_given_up_on():
    reactor, heard = Reactor(), []
    link = rpc.Link(reactor, "127.0.0.1", 1, None, 250)

    class Client:
        def load(self):
            return defer.Deferred()

    link._connect = lambda: defer.succeed(Client())
    link.call("load").addBoth(heard.append)
    reactor.run_due()
    reactor.run_due()
    assert heard[0].check(errors.OutcomeUnknown)
