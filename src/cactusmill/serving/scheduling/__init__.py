"""Decisions under contended load: which requests get the capacity that is left.

Nothing here does input or output, reads a clock or knows the host object; the present
time is an argument. Each module names the load pattern that it answers.
"""
