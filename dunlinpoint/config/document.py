"""The operators' configuration document, format 1.

The console turns an operator's forms into one JSON document::

    {
      "format": 1,
      "name": "hoshizora",
      "groups": [{"name": "planner", "ranks": 4, "experts": 16,
                  "skew_weight": 0.7}],
      "services": [{"name": "booking",
                    "non_idempotent": ["slot_confirm", "slot_release"]}],
      "workspaces": [{"name": "ws-1", "priority": 1, "max_in_flight": 64,
                      "keys": ["s3cret"]}],
      "routes": [{"name": "drafts", "host": "plan.example", "prefix": "/drafts/",
                  "kind": "streaming", "timeout_ms": 8000, "max_attempts": 2,
                  "split": [{"service": "booking", "weight": 1}]}]
    }

``leaving`` names endpoints that get no new work. ``number`` is the console's
own count of its documents, kept beside the version and never lowered;
``origin`` is the console's text as it was sent, given back unchanged on a
read. Control assigns the version when it accepts a document; the document
itself carries none, so an operator cannot write one that looks newer than it is.
:func:`parse` raises :class:`DocumentError`, an exception group holding one
:class:`FieldError` per problem, so an operator sees every problem at once.
"""

import collections
import json

import attrs
import cattrs

FORMAT = 1
# Operations that may not be repeated when a document names none.
NON_IDEMPOTENT = frozenset({"slot_confirm", "slot_release", "dues_charge"})
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT_KIND = "non_idempotent"
STREAMING = "streaming"
KINDS = frozenset({IDEMPOTENT, NON_IDEMPOTENT_KIND, STREAMING})
# A workspace limit that no workspace reaches.
NO_LIMIT = 1 << 30
MAX_RANKS = 1024
MAX_EXPERTS = 4096


class FieldError(ValueError):
    """One problem in a document, at a dotted *path*."""

    def __init__(self, path, problem):
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class DocumentError(ExceptionGroup):
    """A document that cannot be accepted; ``exceptions`` are ``FieldError``."""

    def __new__(cls, problems):
        return super().__new__(cls, "invalid document", problems)

    def __init__(self, problems):
        super().__init__("invalid document", problems)

    def __str__(self):
        return "; ".join(str(e) for e in self.exceptions)


@attrs.frozen
class Group:
    """A group of ranks in lock-step on one expert map."""

    name: str
    ranks: int
    experts: int
    skew_weight: float = 0.5


@attrs.frozen
class Experts:
    """The layers of a model whose ranks are endpoints of a service.

    Each of *sets* sets of layers has *experts* experts; a rank has room for
    *places* of a set and can copy *spare* new ones at once, each in *copy_ms*
    (ms; 0 if not known). *skew_weight* is as in :class:`Group`.
    """

    sets: int
    experts: int
    places: int
    spare: int
    skew_weight: float = 0.5
    copy_ms: float = 0.0


@attrs.frozen
class Service:
    """A service, the operations that may not be repeated, and its experts."""

    name: str
    non_idempotent: list[str] = attrs.field(factory=list)
    experts: Experts | None = None


@attrs.frozen
class Share:
    """A service's part of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Which service callers' HTTP requests to a host and path prefix go to.

    ``kind`` says what may be repeated: :data:`IDEMPOTENT` requests may run
    again, :data:`NON_IDEMPOTENT_KIND` ones at most once, :data:`STREAMING`
    ones only where ``resumable``. ``timeout_ms`` is the longest a caller is
    kept waiting, ``aim_ms`` the time an answer should take, ``pause_ms`` the
    longest pause between a stream's events that is in time (0: none is set),
    ``max_attempts`` the most endpoints one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: int
    split: list[Share]
    aim_ms: int = 0
    pause_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


@attrs.frozen
class Limits:
    """What callers may send, and for how long they may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3000
    idle_ms: int = 15000


@attrs.frozen
class Workspace:
    """A customer's workspace, its priority and its limit of requests in flight.

    0 is the most urgent; without a priority of its own, a request has its route's.
    """

    name: str
    priority: int | None = None
    max_in_flight: int = 64
    keys: list[str] = attrs.field(factory=list)


@attrs.frozen
class Document:
    """One whole configuration, as operators wrote it."""

    format: int
    name: str
    groups: list[Group] = attrs.field(factory=list)
    services: list[Service] = attrs.field(factory=list)
    workspaces: list[Workspace] = attrs.field(factory=list)
    routes: list[Route] = attrs.field(factory=list)
    limits: Limits = attrs.field(factory=Limits)
    leaving: list[str] = attrs.field(factory=list)
    number: int = 0
    origin: str = ""


converter = cattrs.Converter(forbid_extra_keys=True)


def _check(doc):
    problems = []
    if doc.format != FORMAT:
        problems.append(FieldError("format", f"must be {FORMAT}, not {doc.format}"))
    if not doc.name:
        problems.append(FieldError("name", "must not be empty"))
    for field, items in (
        ("groups", doc.groups),
        ("services", doc.services),
        ("workspaces", doc.workspaces),
    ):
        counts = collections.Counter(item.name for item in items)
        for name in sorted(n for n, count in counts.items() if count > 1):
            problems.append(FieldError(field, f"name {name!r} appears twice"))
    for i, group in enumerate(doc.groups):
        if not 1 <= group.ranks <= MAX_RANKS:
            problems.append(
                FieldError(f"groups[{i}].ranks", f"must be 1 to {MAX_RANKS}")
            )
        if not 1 <= group.experts <= MAX_EXPERTS:
            problems.append(
                FieldError(f"groups[{i}].experts", f"must be 1 to {MAX_EXPERTS}")
            )
        if not 0.0 <= group.skew_weight <= 1.0:
            problems.append(
                FieldError(f"groups[{i}].skew_weight", "must be 0.0 to 1.0")
            )
    for i, workspace in enumerate(doc.workspaces):
        if workspace.max_in_flight < 1:
            problems.append(
                FieldError(f"workspaces[{i}].max_in_flight", "must be at least 1")
            )
    return problems + _check_routes(doc) + _check_keys(doc)


def _check_routes(doc):
    """Problems of the routes: each must lead somewhere, and only one way."""
    problems = []
    services = {service.name for service in doc.services}
    seen = set()
    for i, route in enumerate(doc.routes):
        at = f"routes[{i}]"
        if route.kind not in KINDS:
            wanted = ", ".join(sorted(KINDS))
            problems.append(FieldError(f"{at}.kind", f"must be one of {wanted}"))
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            problems.append(FieldError(f"{at}.prefix", "must begin and end with /"))
        if route.timeout_ms < 1:
            problems.append(FieldError(f"{at}.timeout_ms", "must be at least 1"))
        if route.max_attempts < 1:
            problems.append(FieldError(f"{at}.max_attempts", "must be at least 1"))
        if any(share.weight < 0 for share in route.split):
            problems.append(FieldError(f"{at}.split", "weights must not be negative"))
        elif sum(share.weight for share in route.split) <= 0:
            problems.append(FieldError(f"{at}.split", "weights must not add up to 0"))
        for share in route.split:
            if share.service not in services:
                problems.append(
                    FieldError(f"{at}.split", f"unknown service {share.service!r}")
                )
        if (route.host, route.prefix) in seen:
            problems.append(
                FieldError(at, f"{route.host}{route.prefix} is routed twice")
            )
        seen.add((route.host, route.prefix))
    return problems


def _check_keys(doc):
    """Problems of the workspaces' keys: a key must name one workspace."""
    problems = []
    holder_by_key = {}
    for i, workspace in enumerate(doc.workspaces):
        for key in workspace.keys:
            holder = holder_by_key.setdefault(key, workspace.name)
            if holder != workspace.name:
                problems.append(
                    FieldError(f"workspaces[{i}].keys", f"shared with {holder!r}")
                )
    return problems


def parse(text):
    """The ``Document`` in JSON *text*; raises ``DocumentError``."""
    try:
        raw = json.loads(text)
    except ValueError as exc:
        raise DocumentError([FieldError("$", f"not JSON: {exc}")]) from None
    if not isinstance(raw, dict):
        raise DocumentError([FieldError("$", "must be a JSON object")])
    try:
        doc = converter.structure(raw, Document)
    except cattrs.BaseValidationError as exc:
        problems = []
        for line in cattrs.transform_error(exc, path="$"):
            problem, _, path = line.rpartition(" @ ")
            problems.append(FieldError(path.removeprefix("$.") or "$", problem))
        raise DocumentError(problems) from None
    problems = _check(doc)
    if problems:
        raise DocumentError(problems)
    return doc


def parse_for_ranks(text, service):
    """What the ranks of *service* need of the accepted document in JSON *text*.

    Its ``Experts`` or ``None``, and the shortest pause between events (ms) that a
    route to it allows, or 0. Parsing and checking all of a document of 1,400 routes
    takes a lead three to four times as long (18 ms of a core and more of its share of
    one); what controls have accepted needs no check.
    """
    raw = json.loads(text)
    found = [s for s in raw["services"] if s["name"] == service and s.get("experts")]
    experts = converter.structure(found[0]["experts"], Experts) if found else None
    pauses = [
        route["pause_ms"]
        for route in raw["routes"]
        if route.get("pause_ms")
        and any(share["service"] == service for share in route["split"])
    ]
    return experts, min(pauses, default=0)


def dump(doc):
    """*doc* as canonical JSON text (sorted keys)."""
    return json.dumps(converter.unstructure(doc), sort_keys=True)


DEFAULT = Document(
    format=FORMAT,
    name="local",
    groups=[Group(name="planner", ranks=4, experts=16, skew_weight=0.7)],
    services=[
        Service(name="booking", non_idempotent=["slot_confirm", "slot_release"]),
        Service(name="dues", non_idempotent=["dues_charge"]),
    ],
    workspaces=[Workspace(name=f"ws-{i}", priority=i % 3) for i in range(10)],
)
