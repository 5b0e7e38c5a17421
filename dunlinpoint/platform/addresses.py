"""Conversion of the platform's settings to the values that the roles need.

Invalid values raise ``checks.SettingError``.
"""

import json
import math

from dunlinpoint.cli import checks


def with_port(seeds, port):
    """The *seeds* (``[(host, port)]``) with the internal protocol's *port*."""
    return [(host, port) for host, _ in seeds]


def first_port(ports):
    """The first port (``int``) of a comma-separated list."""
    return checks.port(str(ports).split(",")[0], "inner-ports")


def whole_number(value, name):
    """A non-negative ``int`` from *value*, the setting *name*."""
    if not str(value).isdigit():
        raise checks.SettingError(f"{name}: {value!r} is not a whole number")
    return int(value)


def number(value, name, default, maximum):
    """A ``float`` from 0 to *maximum* from *value*, or *default* if it is empty."""
    text = str(value).strip()
    if not text:
        return default
    try:
        found = float(text)
    except ValueError:
        raise checks.SettingError(f"{name}: {value!r} is not a number") from None
    if not math.isfinite(found) or not 0 <= found <= maximum:
        raise checks.SettingError(f"{name}: {value!r} is not within 0-{maximum}")
    return found


def zone_names(value):
    """The zones (``frozenset``) in a JSON object of regions by zone.

    An empty *value* gives no zones.
    """
    if not value.strip():
        return frozenset()
    try:
        region_by_zone = json.loads(value)
    except (ValueError, RecursionError):
        region_by_zone = None
    if not isinstance(region_by_zone, dict):
        raise checks.SettingError(f"zones: {value!r} is not a JSON object")
    return frozenset(region_by_zone)
