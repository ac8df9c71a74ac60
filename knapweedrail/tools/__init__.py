"""Command line programs, one module each."""
