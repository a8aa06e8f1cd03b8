"""Stand in for the platform and the upstreams, for local use and tests."""
