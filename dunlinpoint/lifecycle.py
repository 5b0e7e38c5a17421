"""The life of a process that serves callers: serving, draining, stopping.

- *serving*: new work is taken.
- *draining*: a planned stop has begun. Callers are told to use another
  instance; what still arrives is served.
- *stopping*: the balancer has had its time. What arrives is refused, what is
  in flight finishes.

A process only moves forward through these; a second signal changes nothing.
"""

from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Inputs of the machine."""

    def drain(self) -> None:
        """A planned stop begins."""

    def close(self) -> None:
        """No new work from now on."""

    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""

    def is_stopping(self) -> bool:
        """Whether new work is refused."""


@attrs.define
class Nothing:
    """The machine keeps no data beside its state."""


builder = TypeMachineBuilder(Lifecycle, Nothing)
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
    """A ``Lifecycle`` that serves."""
    return machine(Nothing())
