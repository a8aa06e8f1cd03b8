"""Decide without doing: pick, admit, size, retry, plan."""
