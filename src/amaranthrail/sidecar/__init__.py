"""Guard one upstream: queue, run at most once, drain, report load."""
