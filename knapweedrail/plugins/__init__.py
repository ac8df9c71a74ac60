"""Kinds that register themselves with the kernel."""
