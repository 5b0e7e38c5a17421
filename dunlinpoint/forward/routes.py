"""Lookup tables for the routes and keys of the document in force.

A table is built once per document. A lookup costs one dict access per path segment
and one for the key, independent of the number of routes and workspaces.
"""

import random

import attrs

from dunlinpoint.config import document as config

BEARER_PREFIX = "Bearer "


@attrs.define
class Table:
    """Routes by host and prefix, and workspaces by key.

    ``requires_key`` tells whether requests need a key, on routes that are not public;
    ``version`` is the document's.
    """

    route_by_host_and_prefix: dict = attrs.field(factory=dict)
    workspace_by_key: dict = attrs.field(factory=dict)
    requires_key: bool = False
    version: int = 0

    @classmethod
    def from_document(cls, doc, version):
        """Return the table of *doc*, whose document version is *version*."""
        return cls(
            route_by_host_and_prefix={
                (config.host_key(r.host), r.prefix): r for r in doc.routes
            },
            workspace_by_key={k: w for w in doc.workspaces for k in w.keys if k},
            # Not whether any key or workspace is left: the document that takes the
            # last one away would open all routes.
            requires_key=doc.needs_key,
            version=version,
        )

    def match(self, host, path):
        """Return the route of *host* with the longest matching prefix of *path*.

        *host* may include a port; *path* has no query string. Returns ``None`` if
        no route matches.
        """
        host = config.host_key(host)
        end = path.rfind("/")
        while end >= 0:
            route = self.route_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def workspace(self, authorization):
        """Return the workspace of the key in an ``Authorization`` header value.

        Returns ``None`` for an unknown key or another authentication scheme.
        """
        if not authorization or not authorization.startswith(BEARER_PREFIX):
            return None
        return self.workspace_by_key.get(authorization[len(BEARER_PREFIX) :].strip())


def choose_service(route, rng=random):
    """Return the name of a service of *route*, chosen randomly by weight."""
    if len(route.split) == 1:
        return route.split[0].service
    weights = [share.weight for share in route.split]
    return rng.choices(route.split, weights)[0].service


def is_repeatable(route):
    """Whether a request on *route* may run more than once."""
    return route.kind == config.IDEMPOTENT or (
        route.kind == config.STREAMING and route.resumable
    )
