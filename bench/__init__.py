"""Measure the product against baselines, on this machine."""
