"""Values of the platform's settings as the roles need them."""

from dunlinpoint.cli import checks


def inner(seeds, port):
    """The seeds' addresses for our own protocol, on inner *port*."""
    return [(host, port) for host, _ in seeds]


def first_port(ports):
    """The first of a comma-joined list of ports."""
    return checks.port(str(ports).split(",")[0], "inner-ports")


def whole(value, name):
    """A whole number from *value*."""
    if not str(value).isdigit():
        raise checks.SettingError(f"{name}: {value!r} is not a whole number")
    return int(value)
