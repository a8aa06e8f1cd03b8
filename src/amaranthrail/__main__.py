"""Run the command line as ``python -m amaranthrail``."""

from __future__ import annotations

from .cli import app

app()
