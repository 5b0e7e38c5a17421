"""``dunlinctl``: the operators' command-line tool.

- ``dunlinctl validate FILE`` checks a document and lists every problem.
- ``dunlinctl apply FILE --expect N --controls H:P,...`` proposes the
  document as the version after ``N``. A change id (``--change-id``, by
  default a hash of the document and ``N``) makes it safe to resend after a
  lost reply: control recognises the id and doesn't apply the change twice.
- ``dunlinctl show --controls ...`` prints each control's version in force and the
  evacuated zones.
- ``dunlinctl members --controls ...`` lists the endpoints each control knows.
- ``dunlinctl drain ENDPOINT --controls ...`` adds the endpoint to the
  document's ``leaving`` list (``--back`` removes it).
- ``dunlinctl evacuate ZONE --controls ...`` ends requests to the endpoints of a zone;
  ``dunlinctl restore ZONE --controls ...`` lets them get requests again.
- ``dunlinctl outcome KEY --controls ...`` prints the outcome of a
  non-idempotent call, from the agents that hold its key.
- ``dunlinctl suspects --controls ...`` lists the requests, parts of prompts and
  workspaces under which endpoints crashed; ``dunlinctl lift DIGEST --controls ...``
  clears the crash reports of one of them.
- ``dunlinctl explain REQUEST_ID FILES...`` prints a request's history from the
  logs of several processes.

Exit codes: 0 done, 1 refused (conflict, invalid, no quorum), 2 bad usage.
"""

import hashlib
import json
import sys
from dataclasses import dataclass
from typing import Annotated

import attrs
import cappa
from twisted.internet import defer, task

from dunlinpoint import clock
from dunlinpoint.cli import checks, explain
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.control import discovery, evacuation
from dunlinpoint.routing import owners
from dunlinpoint.suspects import registry
from dunlinpoint.wire import errors, rpc
from dunlinpoint.wire.gen.dunlin import Agent, Control, ttypes

TIMEOUT_MS = 5000
# An order to evacuate a zone goes to another control after the first time, and is given
# up after the second.
ORDER_TIMEOUT_MS = 1000
ORDER_GIVE_UP_MS = 5000
ORDER_INTERVAL_MS = 100
# Number of agents that hold an idempotency key: its owner and the backup.
KEY_REPLICAS = 2


def run_on_reactor(main):
    """Run ``main(reactor)`` and exit with the code that its Deferred fires with."""

    @defer.inlineCallbacks
    def run(reactor):
        code = yield main(reactor)
        if code:
            raise SystemExit(code)

    task.react(run)


def links(reactor, controls):
    """A list of links to the controls at *controls* (``"host:port,..."``)."""
    return [
        rpc.Link(reactor, host, port, Control.Client, TIMEOUT_MS)
        for host, port in checks.addresses(controls, "controls")
    ]


def controls_flag():
    """The flag ``--controls``, by default ``DUNLIN_CONTROLS``."""
    return cappa.Arg(
        long=True, default=cappa.Env("DUNLIN_CONTROLS"), help="host:port,..."
    )


@dataclass
class Validate:
    """Check a document file and print every problem."""

    file: str

    def __call__(self):
        with open(self.file) as source:
            text = source.read()
        try:
            config.parse(text)
        except config.DocumentError as exc:
            for problem in exc.exceptions:
                print(problem)
            sys.exit(1)
        print("valid")


def derive_change_id(text, expected):
    """A change id (24 hex digits), the same for the same document and version."""
    return hashlib.sha256(f"{expected}\n{text}".encode()).hexdigest()[:24]


@dataclass
class Apply:
    """Propose a document as the version after --expect."""

    file: str
    expect: Annotated[int, cappa.Arg(long=True, help="version it is based on")]
    controls: Annotated[str, controls_flag()]
    change_id: Annotated[str, cappa.Arg(long=True, default="", help="resend key")]

    def __call__(self):
        with open(self.file) as source:
            text = source.read()
        try:
            body = config.dump(config.parse(text))
        except config.DocumentError as exc:
            print(f"invalid: {exc}")
            sys.exit(1)
        change_id = self.change_id or derive_change_id(body, self.expect)
        run_on_reactor(lambda reactor: self.send(reactor, change_id, body))

    @defer.inlineCallbacks
    def send(self, reactor, change_id, body):
        control_links = links(reactor, self.controls)
        return (yield propose(control_links, self.expect, change_id, body))


@defer.inlineCallbacks
def propose(control_links, expected, change_id, body):
    """Propose to each control in turn until one answers; fires with the exit code.

    Prints the result as a line of JSON. *control_links* are the links to the controls.
    """
    reasons = []
    for link in control_links:
        try:
            result = yield link.call("apply", expected, change_id, body)
        except ttypes.Refused as refused:
            reasons.append(f"{link.address}: {refused.reason}")
            continue
        except errors.WireError as exc:
            reasons.append(f"{link.address}: {exc}")
            continue
        answer = {"accepted": result.accepted, "version": result.version}
        answer.update(reason=result.reason, change_id=change_id)
        print(json.dumps(answer))
        return 0 if result.accepted else 1
    print(json.dumps({"accepted": False, "reasons": reasons}))
    return 1


@defer.inlineCallbacks
def views(reactor, controls, bodies=False):
    """Fires with a list of ``(address, View or WireError)``, one per control.

    *bodies* asks for the document's body too.
    """
    found = []
    for link in links(reactor, controls):
        try:
            view = yield link.call(
                "view", "", 0, -1, 0, bodies, "", 0, False, None, None
            )
        except errors.WireError as exc:
            view = exc
        found.append((link.address, view))
    return found


def evacuated_zones(view):
    """The evacuated zones that the control of *view*, a ``View``, knows of."""
    return evacuation.active_zones(view.document.evacuations or ())


def endpoints(view):
    """The members of *view*, a ``View``, that are endpoints."""
    return [m for m in view.members if m.kind != discovery.KIND]


@dataclass
class Show:
    """Print the version in force at each control."""

    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(self.show)

    @defer.inlineCallbacks
    def show(self, reactor):
        for address, view in (yield views(reactor, self.controls)):
            if isinstance(view, Exception):
                print(json.dumps({"control": address, "error": str(view)}))
                continue
            line = {"control": address, "id": view.control_id}
            line["version"] = view.document.version
            line["settled"] = view.settled
            line["members"] = len(endpoints(view))
            line["evacuated"] = sorted(evacuated_zones(view))
            print(json.dumps(line))
        return 0


@dataclass
class Members:
    """List the endpoints each control knows, and whether their zone is evacuated."""

    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(self.members)

    @defer.inlineCallbacks
    def members(self, reactor):
        for address, view in (yield views(reactor, self.controls)):
            if isinstance(view, Exception):
                continue
            zones = evacuated_zones(view)
            for member in endpoints(view):
                line = {"control": address, "endpoint_id": member.endpoint_id}
                line.update(zone=member.zone, kind=member.kind)
                line.update(draining=member.draining, version=member.config_version)
                line.update(evacuated=member.zone in zones)
                print(json.dumps(line))
        return 0


@dataclass
class Drain:
    """Stop new work from being sent to an endpoint, through the document."""

    endpoint: str
    controls: Annotated[str, controls_flag()]
    back: Annotated[bool, cappa.Arg(long=True, default=False, help="undo the drain")]

    def __call__(self):
        run_on_reactor(self.drain)

    @defer.inlineCallbacks
    def drain(self, reactor):
        """Propose a change of the newest document at any control."""
        found = [v for _, v in (yield views(reactor, self.controls, bodies=True))]
        documents = [v.document for v in found if not isinstance(v, Exception)]
        if not documents:
            print(json.dumps({"accepted": False, "reason": "no control answers"}))
            return 1
        newest = max(documents, key=lambda document: document.version)
        if not newest.version:
            print(json.dumps({"accepted": False, "reason": "no document in force"}))
            return 1
        doc = config.parse_accepted(packed.unpack(newest.body))
        leaving = set(doc.leaving) - {self.endpoint}
        if not self.back:
            leaving.add(self.endpoint)
        body = config.dump(attrs.evolve(doc, leaving=sorted(leaving)))
        change_id = derive_change_id(body, newest.version)
        control_links = links(reactor, self.controls)
        return (yield propose(control_links, newest.version, change_id, body))


@defer.inlineCallbacks
def order_evacuation(reactor, controls, zone, active):
    """Send an order to the controls in turn until one decides it; the exit code.

    A copy of an order that has been decided changes nothing, so it may be sent again
    after a lost answer. Prints the result as a line of JSON.
    """
    ms_clock = clock.Clock(reactor)
    deadline_ms = ms_clock.now() + ORDER_GIVE_UP_MS
    control_links = links(reactor, controls)
    answer = {"zone": zone, "evacuated": active, "accepted": False}
    reason_by_control = {}
    while ms_clock.now() < deadline_ms:
        for link in control_links:
            try:
                result = yield link.call(
                    "evacuate", zone, active, timeout_ms=ORDER_TIMEOUT_MS
                )
            except ttypes.Refused as refused:
                reason_by_control[link.address] = refused.reason
                continue
            except errors.WireError as exc:
                reason_by_control[link.address] = str(exc)
                continue
            answer.update(accepted=result.accepted, reason=result.reason)
            print(json.dumps(answer))
            return 0 if result.accepted else 1
        yield ms_clock.sleep(ORDER_INTERVAL_MS)
    print(json.dumps(answer | {"reasons": reason_by_control}))
    return 1


@dataclass
class Evacuate:
    """Stop new requests from being sent to the endpoints of a zone."""

    zone: str
    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(
            lambda reactor: order_evacuation(reactor, self.controls, self.zone, True)
        )


@dataclass
class Restore:
    """End the evacuation of a zone: its endpoints get requests again."""

    zone: str
    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(
            lambda reactor: order_evacuation(reactor, self.controls, self.zone, False)
        )


@dataclass
class Outcome:
    """Print the outcome of a non-idempotent call, by its idempotency key."""

    key: str
    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(self.outcome)

    @defer.inlineCallbacks
    def outcome(self, reactor):
        """Query the two agents that hold the key."""
        members = {}
        for _, view in (yield views(reactor, self.controls)):
            if not isinstance(view, Exception):
                members.update((m.endpoint_id, m) for m in view.members)
        services = [m for m in members.values() if m.kind == "service"]
        key_agents = owners.owners(services, self.key)[:KEY_REPLICAS]
        agents = rpc.Links(reactor, Agent.Client, TIMEOUT_MS)
        for key_agent in key_agents:
            try:
                found = yield agents.to(key_agent.host, key_agent.port).call(
                    "lookup", self.key
                )
            except errors.WireError:
                continue
            if found.state:
                answer = {"key": self.key, "outcome": found.state}
                answer.update(status=found.status, body=found.body_json)
                print(json.dumps(answer))
                return 0
        print(json.dumps({"key": self.key, "outcome": "not_known"}))
        return 1


@dataclass
class Suspects:
    """List what endpoints crashed under, as reported to each control."""

    controls: Annotated[str, controls_flag()]

    def __call__(self):
        run_on_reactor(self.suspects)

    @defer.inlineCallbacks
    def suspects(self, reactor):
        for address, view in (yield views(reactor, self.controls)):
            if isinstance(view, Exception):
                continue
            found = registry.Registry()
            for report in view.reports:
                found.apply_report(report, 0)
            for digest, suspect in found.suspect_by_digest.items():
                line = {"control": address, "digest": digest.hex()}
                line["subject"] = suspect.subject or "request"
                line["standing"] = suspect.suspect_status().value
                line["age_ms_by_endpoint"] = {
                    key: -crashed_ms
                    for key, crashed_ms in suspect.crashed_ms_by_incarnation.items()
                }
                print(json.dumps(line))
        return 0


@dataclass
class Lift:
    """Clear all crash reports of a request, prompt part or workspace by digest."""

    digest: str
    controls: Annotated[str, controls_flag()]

    def __call__(self):
        try:
            self.digest_bytes = bytes.fromhex(self.digest)
        except ValueError:
            raise checks.SettingError(f"digest: {self.digest!r} is not hex") from None
        run_on_reactor(self.lift)

    @defer.inlineCallbacks
    def lift(self, reactor):
        """Report the clearing to every control, which passes it on to the entries."""
        notified = 0
        for link in links(reactor, self.controls):
            try:
                yield link.call(
                    "report", [ttypes.CrashReport(self.digest_bytes, "", 0)]
                )
            except errors.WireError as exc:
                print(json.dumps({"control": link.address, "error": str(exc)}))
            else:
                notified += 1
        print(json.dumps({"digest": self.digest, "controls_told": notified}))
        return 0 if notified else 1


@dataclass
class Explain:
    """Print one request's history from the log files of several processes."""

    request_id: str
    files: list[str]
    json: Annotated[bool, cappa.Arg(long=True, default=False, help="as JSON")]

    def __call__(self):
        try:
            lines = explain.history(explain.read(self.files), self.request_id)
        except OSError as exc:
            raise checks.SettingError(f"files: {exc}") from None
        for line in lines:
            print(json.dumps(line.fields) if self.json else line.text())
        if not lines:
            hint = "no log line has this request id: give the log files of every entry"
            print(f"dunlinctl: {self.request_id}: {hint}", file=sys.stderr)
            sys.exit(1)


@cappa.command(name="dunlinctl")
@dataclass
class Ctl:
    """dunlinctl: operate dunlinpoint through its configuration document."""

    command: cappa.Subcommands[
        Validate
        | Apply
        | Show
        | Members
        | Drain
        | Evacuate
        | Restore
        | Outcome
        | Suspects
        | Lift
        | Explain
    ]


def main(argv=None):
    """Run ``dunlinctl``."""
    checks.invoke(Ctl, argv, "dunlinctl")


if __name__ == "__main__":
    main()
