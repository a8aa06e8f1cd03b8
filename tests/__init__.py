"""Test the product, alone and over real processes."""
