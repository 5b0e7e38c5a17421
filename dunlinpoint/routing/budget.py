"""How many tries beyond the first each service may get.

When a service fails broadly, every request wants a second try, and the
retries alone can keep it from recovering. Each first try earns a part of a
retry; a retry spends one; what is unspent is capped, so calm hours do not
save up for a storm. Each entry keeps to its own part, so all entries
together stay within the whole without talking to each other.
"""

import attrs


@attrs.define
class Budget:
    """Retry credit by service name."""

    ratio: float = 0.15
    cap: float = 8.0
    credit_by_service: dict = attrs.field(factory=dict)

    def earn(self, service):
        """A first try was sent to *service*."""
        credit = self.credit_by_service.get(service, self.cap)
        self.credit_by_service[service] = min(self.cap, credit + self.ratio)

    def spend(self, service):
        """Take one retry's worth; ``False`` when there is none."""
        credit = self.credit_by_service.get(service, self.cap)
        if credit < 1.0:
            return False
        self.credit_by_service[service] = credit - 1.0
        return True
