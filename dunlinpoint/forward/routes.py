"""Routes and keys of the document in force, arranged for lookups.

A table is built once per document; a lookup costs one dict probe per path
segment and one for the key, whatever the number of routes and workspaces.
"""

import random

import attrs

from dunlinpoint.config import document as config

BEARER = "Bearer "


@attrs.define
class Table:
    """Routes by host and prefix, workspaces by key."""

    route_by_place: dict = attrs.field(factory=dict)
    workspace_by_key: dict = attrs.field(factory=dict)
    keyed: bool = False
    version: int = 0

    @classmethod
    def from_document(cls, doc, version):
        """The table of *doc*, in force as *version*."""
        return cls(
            route_by_place={(r.host.lower(), r.prefix): r for r in doc.routes},
            workspace_by_key={key: w for w in doc.workspaces for key in w.keys},
            keyed=any(w.keys for w in doc.workspaces),
            version=version,
        )

    def match(self, host, path):
        """The route of *host* with the longest prefix of *path*, or ``None``.

        *host* may carry a port; *path* is without its query.
        """
        host = host.rsplit(":", 1)[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.route_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def workspace(self, authorization):
        """The workspace whose key an ``Authorization`` value holds, or ``None``."""
        if not authorization or not authorization.startswith(BEARER):
            return None
        return self.workspace_by_key.get(authorization[len(BEARER) :].strip())


def service_of(route, rng=random):
    """One of the services of *route*, drawn by weight."""
    if len(route.split) == 1:
        return route.split[0].service
    weights = [share.weight for share in route.split]
    return rng.choices(route.split, weights)[0].service


def repeatable(route):
    """Whether a request on *route* may run more than once."""
    return route.kind == config.IDEMPOTENT or (
        route.kind == config.STREAMING and route.resumable
    )
