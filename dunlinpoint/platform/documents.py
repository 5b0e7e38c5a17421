"""Conversion of the platform's JSON bodies to and from dunlinpoint's messages.

:func:`to_document` raises ``config.DocumentError`` like the document parser, so
an invalid body is refused with a list of all its problems.
"""

import functools
import json
import math
import re

import attrs

from dunlinpoint import clock, logs
from dunlinpoint.config import document as config
from dunlinpoint.config import packed
from dunlinpoint.experts import messages
from dunlinpoint.platform import fields
from dunlinpoint.wire.gen.dunlin import ttypes

log = logs.logger("platform")

READY = "ready"
DRAINING = "draining"
NO_INCARNATION = 0
OPEN = "open"
BITS_PER_BYTE = 8
# Valid paces of an engine, and their unit on the wire.
MIN_PACE, MAX_PACE = 0.1, 100
THOUSANDTHS = 1000
# Far above what an engine holds.
MAX_STREAMS = 100_000
HEALTH_PATH = re.compile(r"/[!-~]*")


def _route(raw):
    split = raw.get("split") or [{"service": raw.get("service", ""), "weight": 1}]
    return {
        "name": raw.get("name", ""),
        "host": raw.get("host", ""),
        "prefix": raw.get("pathPrefix", ""),
        "kind": raw.get("routeKind", ""),
        "timeout_ms": raw.get("timeoutMs", 0),
        "split": [
            {"service": part.get("service", ""), "weight": part.get("weight", 0)}
            for part in split
        ],
        "aim_ms": raw.get("sloMs", 0),
        "pause_ms": raw.get("itlTargetMs", 0),
        "priority": raw.get("priority", 0),
        "max_attempts": raw.get("maxAttempts", 1),
        "public": raw.get("public", False),
        "resumable": raw.get("resumable", False),
    }


def _copy_ms(engine):
    """Time to copy one expert (ms): size in MB over the link's rate in Mbit/s.

    0 if the engine gives no link rate.
    """
    megabits = engine.get("expertMb", 0) * BITS_PER_BYTE
    link_mbps = engine.get("linkMbps", 0)
    return megabits * clock.MS_PER_SECOND / link_mbps if link_mbps else 0.0


def _cold(raw):
    """The field ``cold`` of a service, left out if its endpoints have no limit.

    Values of a wrong type are passed on, so that the parser reports them.
    """
    per_s, start_s = raw.get("coldPerS"), raw.get("coldStartS")
    if per_s is None or (per_s == 0 and per_s is not False):
        return {}
    cold = {"requests_per_s": per_s}
    if isinstance(start_s, int | float) and not isinstance(start_s, bool):
        cold["start_ms"] = start_s * clock.MS_PER_SECOND
    elif start_s is not None:
        cold["start_ms"] = start_s
    return {"cold": cold}


def _service(raw):
    engine = raw.get("engine") or {}
    service = {"name": raw["name"]} | _cold(raw)
    if not engine.get("sets"):
        return service
    experts = {
        "sets": engine["sets"],
        "experts": engine["experts"],
        "places": engine["placements"],
        "spare": engine["spare"],
        "copy_ms": _copy_ms(engine),
    }
    return service | {"experts": experts}


def _workspace(raw):
    return {
        "name": raw.get("name", ""),
        "priority": raw.get("priority"),
        "max_in_flight": config.NO_LIMIT,
        "keys": raw.get("apiKeys", []),
    }


def _workspaces(raw):
    """The fields of a document that stand for the tenants of an operator's body.

    A body without the field needs no keys; one with an empty list needs keys, which
    nobody holds. ``null`` is invalid: taken for an absent field, it would open all
    routes.
    """
    tenants = raw.get("tenants", [])
    if not isinstance(tenants, list):
        raise TypeError(f"tenants must be a list, not {tenants!r}")
    workspaces = {"workspaces": [_workspace(tenant) for tenant in tenants]}
    # Builds that do not know the field ``requires_key`` refuse a document with it.
    if "tenants" in raw and not tenants:
        return workspaces | {"requires_key": True}
    return workspaces


def _limits(raw):
    limits = config.Limits()
    return {
        "header_bytes": raw.get("maxHeaderBytes", limits.header_bytes),
        "body_bytes": raw.get("maxBodyBytes", limits.body_bytes),
        "header_ms": raw.get("headerTimeoutMs", limits.header_ms),
        "idle_ms": raw.get("idleTimeoutMs", limits.idle_ms),
    }


def to_document(body):
    """The ``config.Document`` of an operator's JSON body (``bytes``).

    Raises ``config.DocumentError``.
    """
    try:
        text = body.decode()
    except UnicodeDecodeError as exc:
        raise config.DocumentError([config.FieldError("$", str(exc))]) from None
    return config.parse(text, functools.partial(_converted, text))


def _converted(text, raw):
    """The operator's body *text*, parsed as *raw*, in the document's format."""
    try:
        return {
            "format": config.FORMAT,
            "name": "platform",
            "number": raw["version"],
            "origin": text,
            "services": [_service(s) for s in raw["services"]],
            "routes": [_route(r) for r in raw["routes"]],
            "limits": _limits(raw.get("limits") or {}),
        } | _workspaces(raw)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise config.DocumentError([config.FieldError("$", repr(exc))]) from None


def parse_accepted(text):
    """The ``config.Document`` in JSON *text* that controls have accepted.

    One with an empty list of tenants may have been accepted by a build that took this
    for no tenants. The paths of health checks are read from the operator's body, as
    builds that do not know them refuse a document with them. Raises
    ``config.DocumentError``.
    """
    doc = config.parse_accepted(text)
    if not doc.origin:
        return doc
    raw = json.loads(doc.origin)
    path_by_name = {s["name"]: _health_path(s) for s in raw["services"]}
    services = [
        attrs.evolve(s, health_path=path_by_name.get(s.name)) for s in doc.services
    ]
    requires_key = doc.requires_key
    if not doc.needs_key and "tenants" in raw:
        requires_key = True
    return attrs.evolve(doc, services=services, requires_key=requires_key)


def _health_path(service):
    """The path of the health check of a *service*, ``None`` if it has no valid one."""
    path = service.get("healthPath")
    is_valid = isinstance(path, str) and HEALTH_PATH.fullmatch(path)
    return path if is_valid else None


def origin(decision):
    """The operator's body (``str``) of a ``Decision``, as it was sent."""
    return json.loads(packed.unpack(decision.body)).get("origin", "")


def to_rank_state(report, lists):
    """A ``RankState`` from an engine's *report*.

    *lists* holds its lists of experts, or is ``None`` if they were not read.
    """
    group = report["group"]
    return messages.state_message(
        {
            "group": group["name"],
            "epoch": group["epoch"],
            "rank": group["rank"],
            "size": report["size"],
            "open": group["state"] == OPEN,
        },
        {
            "step": report["step"],
            "map_version": report["mapping"],
            "prepared": report["preloaded"] or 0,
            "armed": (report["armed"] or {}).get("version", 0),
            "held": report["held"] or 0,
            "pace": _pace(report.get("pace")),
            "streams": _streams(report),
        },
        lists["mapping"]["experts"] if lists else None,
    )


def _streams(report):
    """The requests that an engine runs or queues, or ``None`` if it is not reported."""
    counts = [report.get("active"), report.get("queued")]
    if all(type(count) is int and 0 <= count <= MAX_STREAMS for count in counts):
        return sum(counts)
    return None


def _pace(value):
    """The *value* of an engine's pace in thousandths, or ``None`` if it is unknown."""
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and MIN_PACE <= value <= MAX_PACE:
        return round(value * THOUSANDTHS)
    _log_ignored_pace(repr(value)[:40])
    return None


@functools.lru_cache(maxsize=64)
def _log_ignored_pace(text):
    """Log an invalid pace once: an engine's report is read several times a second."""
    log.warning("field_ignored", field="pace", error=text)


def to_heartbeat(endpoint_id, body):
    """The ``Heartbeat`` of a server's heartbeat *body*.

    Raises ``fields.FieldError`` if the body is malformed. A service that no
    document names is accepted: a later document may name it, and until then no
    route leads to it.
    """
    raw = fields.json_object(body)
    state = raw.get("state")
    if state not in (READY, DRAINING):
        raise fields.FieldError("state")
    host, port = fields.address(raw.get("address"), "address")
    return ttypes.Heartbeat(
        endpoint_id=fields.name(endpoint_id, "endpoint_id"),
        zone=fields.name(raw.get("zone"), "zone"),
        host=host,
        port=port,
        kind="service",
        load=0,
        draining=state == DRAINING,
        config_version=0,
        incarnation=_incarnation(raw) or NO_INCARNATION,
        group="",
        service_name=fields.name(raw.get("service"), "service"),
        slots=fields.whole_number(raw.get("slots"), "slots", 1, fields.MAX_I32),
        sequence=fields.whole_number(raw.get("seqNo"), "seqNo"),
        gone=False,
        cold_left_ms=_cold_left_ms(endpoint_id, raw.get("coldLeftMs")),
    )


def _cold_left_ms(endpoint_id, value):
    """How long the endpoint stays cold (ms), or ``None`` if missing or invalid."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value <= config.MAX_COLD_START_MS:
        return math.ceil(value)
    if value is not None:
        log.warning(
            "field_ignored",
            endpoint_id=endpoint_id,
            field="coldLeftMs",
            error=repr(value)[:40],
        )
    return None


def _incarnation(raw):
    """The server's start time in a body (Unix ms), or ``None`` if not given."""
    if "born" not in raw:
        return None
    return fields.whole_number(raw["born"], "born", 1)


def to_incarnation(body):
    """The start time (Unix ms) in a deregister call, or ``None`` if not given.

    Raises ``fields.FieldError`` if the *body* is malformed.
    """
    return _incarnation(fields.json_object(body)) if body.strip() else None
