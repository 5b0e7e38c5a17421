"""Validation of settings given as flags or environment variables.

Each function converts a raw string to a value or raises :class:`SettingError`
with the setting's name, its value and what is expected. A daemon with an
invalid setting exits at once with one clear line instead of failing later.
"""

import os
import sys

import cappa


class SettingError(ValueError):
    """A setting with an invalid value."""


def port(value, name="port"):
    """A TCP port number (``int``, 1-65535) from *value*."""
    try:
        number = int(value)
    except (TypeError, ValueError):
        raise SettingError(f"{name}: {value!r} is not a port number") from None
    if not 1 <= number <= 65535:
        raise SettingError(f"{name}: {number} is not within 1-65535")
    return number


def address(value, name="address"):
    """``(host, port)`` from ``"host:port"``."""
    host, sep, number = str(value).rpartition(":")
    if not sep or not host:
        raise SettingError(f"{name}: {value!r} is not host:port")
    return host, port(number, name)


def addresses(value, name="addresses"):
    """A non-empty list of ``(host, port)`` from ``"host:port,host:port"``."""
    items = [item.strip() for item in str(value).split(",") if item.strip()]
    if not items:
        raise SettingError(f"{name}: at least one host:port is needed")
    return [address(item, name) for item in items]


def optional_addresses(value, name="addresses"):
    """Like :func:`addresses`, but an empty value gives ``[]``."""
    return addresses(value, name) if str(value or "").strip() else []


def name(value, setting):
    """A non-empty name without spaces."""
    text = str(value or "").strip()
    if not text or " " in text:
        raise SettingError(f"{setting}: {value!r} must be a non-empty word")
    return text


def folder(value, setting="data"):
    """The path of a data folder, created if it's missing; ``None`` if empty."""
    if not value:
        return None
    try:
        os.makedirs(value, exist_ok=True)
    except OSError as exc:
        raise SettingError(f"{setting}: cannot use {value!r}: {exc}") from None
    return value


def choice(value, allowed, setting):
    """*value* if it is in *allowed* (a set of ``str``)."""
    if value not in allowed:
        wanted = ", ".join(sorted(allowed))
        raise SettingError(f"{setting}: {value!r} is not one of {wanted}")
    return value


def invoke(command, argv, program):
    """Run a cappa *command*; a ``SettingError`` is printed, with exit code 2."""
    try:
        cappa.invoke(command, argv=argv)
    except SettingError as exc:
        print(f"{program}: bad setting: {exc}", file=sys.stderr)
        sys.exit(2)
