"""Stand-ins of the users' platform, clients and servers for the review's scripts."""
