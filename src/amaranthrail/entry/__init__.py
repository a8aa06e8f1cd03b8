"""Serve callers: identify, admit, route, retry and keep keyed work."""
