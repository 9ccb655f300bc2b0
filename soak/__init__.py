"""Fault soak: real processes under faults, judged by what callers and endpoints see.

A seed gives a schedule of faults (:mod:`.schedule`). A run starts the processes of a
fleet on loopback, lets callers use it, strikes the faults from outside, and writes what
callers and endpoints saw as a history (:mod:`.history`). Checkers (:mod:`.checks`) read
the history and return findings.
"""
