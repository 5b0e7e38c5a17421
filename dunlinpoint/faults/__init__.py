"""The fault-injecting TCP proxy used by the integration tests."""
