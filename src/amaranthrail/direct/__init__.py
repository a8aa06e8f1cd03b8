"""Serve callers from an entry that reaches upstreams without sidecars."""
