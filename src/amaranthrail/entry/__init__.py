"""Serve callers: admit, route and retry requests, run keyed ones once."""
