"""Lifecycle of a process that serves callers: serving, draining, stopping.

- *serving*: new requests are accepted.
- *draining*: a planned stop has begun. Callers are asked to use another
  instance; requests that still arrive are served.
- *stopping*: the load balancer in front has had time to notice the stop. New
  requests are refused, requests in flight finish.

The states are passed in this order only; a repeated signal has no effect.
"""

from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Inputs of the state machine."""

    def drain(self) -> None:
        """Begin a planned stop."""

    def close(self) -> None:
        """Refuse new requests from now on."""

    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""

    def is_stopping(self) -> bool:
        """Whether new requests are refused."""


@attrs.define
class NoData:
    """Empty data object, which ``TypeMachineBuilder`` requires."""


builder = TypeMachineBuilder(Lifecycle, NoData)
serving = builder.state("serving")
draining = builder.state("draining")
stopping = builder.state("stopping")

serving.upon(Lifecycle.drain).to(draining).returns(None)
serving.upon(Lifecycle.close).to(stopping).returns(None)
draining.upon(Lifecycle.drain).loop().returns(None)
draining.upon(Lifecycle.close).to(stopping).returns(None)
stopping.upon(Lifecycle.drain).loop().returns(None)
stopping.upon(Lifecycle.close).loop().returns(None)
serving.upon(Lifecycle.is_draining).loop().returns(False)
serving.upon(Lifecycle.is_stopping).loop().returns(False)
draining.upon(Lifecycle.is_draining).loop().returns(True)
draining.upon(Lifecycle.is_stopping).loop().returns(False)
stopping.upon(Lifecycle.is_draining).loop().returns(True)
stopping.upon(Lifecycle.is_stopping).loop().returns(True)

machine = builder.build()


def begin():
    """A new state machine in the state *serving*."""
    return machine(NoData())
