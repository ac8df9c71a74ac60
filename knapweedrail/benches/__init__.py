"""Measurements, one module each; `tools.bench` runs them."""
