"""Decisions on where and when requests go to runners.

Pure: clock and randomness are passed in, and no module here does any I/O.
"""
