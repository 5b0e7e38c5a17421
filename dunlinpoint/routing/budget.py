"""Retry budget of each service.

When a service fails broadly, every request is retried, and the retries alone
can keep the service from recovering. Each first attempt adds a fraction of a
retry to the service's credit, and each retry takes one. The credit is capped,
so that hours without failures do not allow a burst of retries. Each entry
limits its own ratio of retries, so the ratio holds for all entries together
without any communication between them.
"""

import attrs


@attrs.define
class Budget:
    """Retry credit by service name.

    ``ratio`` is the credit (retries) that each first attempt adds, ``cap`` the most
    that a service can have. A new service begins with the cap.
    """

    ratio: float = 0.15
    cap: float = 8.0
    credit_by_service: dict = attrs.field(factory=dict)

    def earn(self, service):
        """Add credit for a first attempt sent to *service*."""
        credit = self.credit_by_service.get(service, self.cap)
        self.credit_by_service[service] = min(self.cap, credit + self.ratio)

    def spend(self, service):
        """Take the credit of one retry; return ``False`` if there is too little."""
        credit = self.credit_by_service.get(service, self.cap)
        if credit < 1.0:
            return False
        self.credit_by_service[service] = credit - 1.0
        return True
