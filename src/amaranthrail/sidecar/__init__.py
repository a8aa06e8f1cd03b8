"""Run beside one upstream: queue, deduplicate, drain and report load."""
