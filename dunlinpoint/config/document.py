"""The operators' configuration document, format 1.

The console generates one JSON document from an operator's forms::

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

``leaving`` lists endpoints that get no new requests. ``number`` is the console's
own counter of its documents, kept beside the version and never decreased;
``origin`` is the console's original text, returned unchanged on a read. Control
assigns the version when it accepts a document; the document itself contains
none, so an operator cannot write one that appears newer than it is.
:func:`parse` raises :class:`DocumentError`, an exception group with one
:class:`FieldError` per problem, so that all problems are reported at once.
"""

import collections
import json
import math
import typing

import attrs
import cattrs
from cattrs import cols, gen

FORMAT = 1
# Operations that must not be repeated when no document lists any.
NON_IDEMPOTENT = frozenset({"slot_confirm", "slot_release", "dues_charge"})
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT_KIND = "non_idempotent"
STREAMING = "streaming"
KINDS = frozenset({IDEMPOTENT, NON_IDEMPOTENT_KIND, STREAMING})
# A ``max_in_flight`` that is never reached.
NO_LIMIT = 1 << 30
MAX_RANKS = 1024
MAX_EXPERTS = 4096
MAX_COLD_REQUESTS_PER_S = 100_000
MAX_COLD_START_MS = 3_600_000

# A finite JSON number, kept as an ``int`` where it is written as one.
Number = typing.NewType("Number", float)


class FieldError(ValueError):
    """A problem in a document at *path*, such as ``groups[0].ranks``."""

    def __init__(self, path, problem):
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class DocumentError(ExceptionGroup):
    """An invalid document; ``exceptions`` holds a ``FieldError`` per problem."""

    def __new__(cls, problems):
        return super().__new__(cls, "invalid document", problems)

    def __init__(self, problems):
        super().__init__("invalid document", problems)

    def __str__(self):
        return "; ".join(str(e) for e in self.exceptions)


@attrs.frozen
class Group:
    """A group of ranks that run in lock-step with one expert map.

    *skew_weight*, 0.0 to 1.0, weighs reduced skew against the cost of moving experts
    when a new map is planned (1.0: only the skew counts).
    """

    name: str
    ranks: int
    experts: int
    skew_weight: float = 0.5


@attrs.frozen
class Experts:
    """The expert layers of a model whose ranks are endpoints of a service.

    Each of *sets* sets of layers has *experts* experts. A rank can hold *places*
    experts of a set and copy *spare* new ones at once, each in *copy_ms* (0: not
    known). *skew_weight* is as in :class:`Group`.
    """

    sets: int
    experts: int
    places: int
    spare: int
    skew_weight: float = 0.5
    copy_ms: float = 0.0


@attrs.frozen
class Cold:
    """The rate that a service's endpoints tolerate while they are cold.

    A cold endpoint takes *requests_per_s* from all entries together. *start_ms* is how
    long an endpoint counts as cold that does not report it.
    """

    requests_per_s: Number
    start_ms: Number = 3000


@attrs.frozen
class Service:
    """A service, its operations that must not be repeated, and its experts.

    *cold* is ``None`` if its endpoints tolerate any rate from their start on.
    *health_path* is the path of their health check, ``None`` if they have none.
    """

    name: str
    non_idempotent: list[str] = attrs.field(factory=list)
    experts: Experts | None = None
    cold: Cold | None = None
    health_path: str | None = None


@attrs.frozen
class Share:
    """A service's share of a route's requests, in proportion to *weight*."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """The services for callers' HTTP requests to a host and path prefix.

    ``kind`` determines what may be repeated: :data:`IDEMPOTENT` requests may run
    again, :data:`NON_IDEMPOTENT_KIND` ones run at most once, :data:`STREAMING`
    ones are repeated only if ``resumable``. ``timeout_ms`` is the longest time a
    caller waits, ``aim_ms`` the latency target of an answer, ``pause_ms`` the
    longest acceptable inter-event gap of a stream (0: no target is set),
    ``max_attempts`` the most endpoints that one request may be sent to.
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
    """Limits of callers' requests: sizes in bytes, times in ms."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_ms: int = 3000
    idle_ms: int = 15000


@attrs.frozen
class Workspace:
    """A customer's workspace, its priority and its limit of requests in flight.

    Priority 0 is the most urgent; with ``None``, the route's priority applies.
    """

    name: str
    priority: int | None = None
    max_in_flight: int = 64
    keys: list[str] = attrs.field(factory=list)


@attrs.frozen
class Document:
    """A complete configuration as written by operators.

    *requires_key* tells whether callers need a key where it does not follow from the
    workspaces: a document with an empty list of them needs keys, which nobody holds.
    """

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
    requires_key: bool | None = None

    @property
    def needs_key(self):
        """Whether requests on routes that are not public need a key."""
        if self.requires_key is None:
            return bool(self.workspaces)
        return self.requires_key


def _structure_number(value, _type=None):
    """*value* if it is a finite number; raises ``ValueError``."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"a {type(value).__name__} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return value


def _structure_exactly(value, expected):
    """*value* if it is of the type *expected*; raises ``ValueError``."""
    if not isinstance(value, expected):
        raise ValueError(f"a {type(value).__name__} is not a {expected.__name__}")
    return value


def _list_hook(list_type, list_converter):
    structure_items = cols.list_structure_factory(list_type, list_converter)

    def structure_list(value, _type):
        # A text would be taken for a list of its characters.
        if not isinstance(value, list):
            raise ValueError(f"a {type(value).__name__} is not a list")
        return structure_items(value, list_type)

    return structure_list


converter = cattrs.Converter(forbid_extra_keys=True)
converter.register_structure_hook(Number, _structure_number)
converter.register_structure_hook(int, lambda v, _: int(_structure_number(v)))
converter.register_structure_hook(float, lambda v, _: float(_structure_number(v)))
converter.register_structure_hook(str, _structure_exactly)
converter.register_structure_hook(bool, _structure_exactly)
converter.register_structure_hook_factory(
    lambda hinted: typing.get_origin(hinted) is list, _list_hook
)
# For documents in force, which an earlier version may have accepted with a text for a
# number or a boolean: an entry that refused such a document would serve nobody.
accepted_converter = cattrs.Converter(forbid_extra_keys=True)
accepted_converter.register_structure_hook(Number, _structure_number)
# Processes of earlier versions refuse a document with a field that they don't know, so
# the field is left out where it is not used.
converter.register_unstructure_hook(
    Service,
    gen.make_dict_unstructure_fn(
        Service,
        converter,
        cold=gen.override(omit_if_default=True),
        health_path=gen.override(omit_if_default=True),
    ),
)
converter.register_unstructure_hook(
    Document,
    gen.make_dict_unstructure_fn(
        Document, converter, requires_key=gen.override(omit_if_default=True)
    ),
)


def _check_format(doc):
    if doc.format == FORMAT:
        return []
    return [FieldError("format", f"must be {FORMAT}, not {doc.format}")]


def _check(doc):
    problems = _check_format(doc)
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
    return problems + _check_cold(doc) + _check_routes(doc) + _check_keys(doc)


def _check_cold(doc):
    """Problems of the services' rates and times of cold endpoints."""
    problems = []
    for i, service in enumerate(doc.services):
        if service.cold is None:
            continue
        at = f"services[{i}].cold"
        if not 0 < service.cold.requests_per_s <= MAX_COLD_REQUESTS_PER_S:
            wanted = f"must be above 0 and at most {MAX_COLD_REQUESTS_PER_S}"
            problems.append(FieldError(f"{at}.requests_per_s", wanted))
        if not 0 <= service.cold.start_ms <= MAX_COLD_START_MS:
            wanted = f"must be 0 to {MAX_COLD_START_MS}"
            problems.append(FieldError(f"{at}.start_ms", wanted))
    return problems


def _check_routes(doc):
    """Problems of the routes: known services, valid weights, no duplicates."""
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
        if (host_key(route.host), route.prefix) in seen:
            problems.append(
                FieldError(at, f"{route.host}{route.prefix} is routed twice")
            )
        seen.add((host_key(route.host), route.prefix))
    return problems


def _check_keys(doc):
    """Problems of the workspaces' keys: a key must belong to one workspace."""
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


def host_key(host):
    """The name by which the *host* of a route or a request is looked up.

    Letter case, a trailing dot and the port make no difference.
    """
    name, _, port = host.rpartition(":")
    if name and (port.isdigit() or not port):
        host = name
    return host.lower().removesuffix(".")


def parse(text, convert=None):
    """The ``Document`` in JSON *text*; raises ``DocumentError`` if invalid.

    ``convert(raw)`` makes an object of another format one of this module's, and raises
    ``DocumentError`` if it cannot.
    """
    # Python's parser takes NaN and Infinity, which are no JSON. They are refused after
    # the check of the fields, which names the path of a field that has one.
    constants = []

    def take_constant(name):
        constants.append(name)
        return float(name)

    try:
        raw = json.loads(text, parse_constant=take_constant)
    except ValueError as exc:
        raise DocumentError([FieldError("$", f"not JSON: {exc}")]) from None
    except RecursionError:
        raise DocumentError([FieldError("$", "is nested too deep")]) from None
    if not isinstance(raw, dict):
        raise DocumentError([FieldError("$", "must be a JSON object")])
    doc = _structure(converter, raw if convert is None else convert(raw))
    problems = _check(doc)
    if constants:
        problems.append(FieldError("$", f"not JSON: {constants[0]}"))
    if problems:
        raise DocumentError(problems)
    return doc


def parse_accepted(text):
    """The ``Document`` in JSON *text* that controls have accepted.

    Raises ``DocumentError`` if its format is not known here.
    """
    doc = _structure(accepted_converter, json.loads(text))
    problems = _check_format(doc)
    if problems:
        raise DocumentError(problems)
    return doc


def _structure(chosen_converter, raw):
    try:
        return _with_required_key(chosen_converter.structure(raw, Document), raw)
    except cattrs.BaseValidationError as exc:
        problems = []
        for line in cattrs.transform_error(exc, path="$"):
            problem, _, path = line.rpartition(" @ ")
            problems.append(FieldError(path.removeprefix("$.") or "$", problem))
        raise DocumentError(problems) from None


def _with_required_key(doc, raw):
    """*doc*, which requires keys if its text *raw* has an empty list of workspaces.

    A document with an ``origin`` has a list in each case and says itself whether keys
    are required.
    """
    if doc.origin or doc.requires_key is not None or "workspaces" not in raw:
        return doc
    return doc if doc.workspaces else attrs.evolve(doc, requires_key=True)


def parse_for_ranks(text, service):
    """The part of the accepted document in JSON *text* that ranks of *service* need.

    Returns ``(experts, gap_ms)``: the service's ``Experts`` or ``None``, and the
    shortest inter-event gap that a route to it sets as target, or 0. Parsing and
    validating a document of 1,400 routes in full takes three to four times as long
    (18 ms of a core, and more for a group leader that has only a share of one); a
    document that controls have accepted needs no validation.
    """
    raw = json.loads(text)
    found = [s for s in raw["services"] if s["name"] == service and s.get("experts")]
    experts = None
    if found:
        experts = accepted_converter.structure(found[0]["experts"], Experts)
    gaps = [
        route["pause_ms"]
        for route in raw["routes"]
        if route.get("pause_ms")
        and any(share["service"] == service for share in route["split"])
    ]
    return experts, min(gaps, default=0)


def dump(doc):
    """*doc* as canonical JSON text (sorted keys)."""
    raw = converter.unstructure(doc)
    if not doc.workspaces and not doc.needs_key:
        # An empty list would need keys.
        del raw["workspaces"]
    return json.dumps(raw, sort_keys=True)


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
