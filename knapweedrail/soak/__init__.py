"""Randomized soak: real relays under random faults, judged from outside.

`schedules` draws what is done, `faults` does it to the fleet of `worlds`, `callers` and
`runners` note what they see in the terms of `records`, and `judges` says what it broke.
"""
