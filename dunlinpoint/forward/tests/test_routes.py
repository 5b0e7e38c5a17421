"""Lookup of routes and keys."""

import collections
import random

import pytest

from dunlinpoint.config import document as config
from dunlinpoint.forward import routes


def route(prefix, **fields):
    split = fields.pop("split", [config.Share("s")])
    kind = fields.pop("kind", config.IDEMPOTENT)
    return config.Route(prefix, "Plan.example", prefix, kind, 1000, split, **fields)


TABLE = routes.Table.from_document(
    config.Document(
        1,
        "d",
        routes=[route("/a/"), route("/a/b/"), route("/")],
        workspaces=[config.Workspace("w", keys=["k1", "k2"])],
    ),
    7,
)


@pytest.mark.parametrize(
    "host, path, prefix",
    [
        ("plan.example", "/a/b/c", "/a/b/"),
        ("plan.example:8080", "/a/bc", "/a/"),
        ("PLAN.example", "/a", "/"),
        ("plan.example", "//a/b/", "/"),
        ("other.example", "/a/", None),
    ],
)
def test_the_longest_matching_prefix_wins(host, path, prefix):
    found = TABLE.match(host, path)
    assert (found.prefix if found else None) == prefix


def test_a_key_selects_only_its_workspace():
    assert TABLE.workspace("Bearer k2").name == "w"
    for value in (None, "", "Bearer", "Bearer k3", "Basic k1", "k1"):
        assert TABLE.workspace(value) is None


def test_a_document_with_workspaces_requires_a_key_although_none_is_left():
    # Guards against routes that are open to anybody once the last key is taken away.
    workspaces = [config.Workspace("w"), config.Workspace("v", keys=[])]
    table = routes.Table.from_document(
        config.Document(1, "d", routes=[route("/a/")], workspaces=workspaces), 7
    )
    assert table.requires_key
    for value in (None, "", "Bearer", "Bearer ", "Bearer k1"):
        assert table.workspace(value) is None


def test_an_empty_key_is_held_by_nobody():
    # Guards against a caller without a key that counts as the holder of an empty one.
    workspaces = [config.Workspace("w", keys=[""])]
    table = routes.Table.from_document(
        config.Document(1, "d", workspaces=workspaces), 7
    )
    for value in (None, "", "Bearer", "Bearer ", "Bearer   "):
        assert table.workspace(value) is None


def test_services_are_drawn_by_weight():
    split = [config.Share("a", 90), config.Share("b", 10), config.Share("c", 0)]
    rng = random.Random(1)
    drawn = collections.Counter(
        routes.choose_service(route("/", split=split), rng) for _ in range(2000)
    )
    assert drawn["c"] == 0 and 120 < drawn["b"] < 280


@pytest.mark.parametrize(
    "kind, resumable, again",
    [
        (config.IDEMPOTENT, False, True),
        (config.NON_IDEMPOTENT_KIND, True, False),
        (config.STREAMING, True, True),
        (config.STREAMING, False, False),
    ],
)
def test_the_route_kind_decides_whether_a_request_is_repeatable(kind, resumable, again):
    assert routes.is_repeatable(route("/", kind=kind, resumable=resumable)) is again
