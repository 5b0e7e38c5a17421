"""Stand-ins of the second review: the platform, its servers and its clients."""
