"""A fault-injecting TCP proxy for the soak and integration tests."""
