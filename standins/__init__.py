"""Small stand-ins for what lies outside the system, for trials and tests.

Each is an object that serves streams, so that tests can run it in their own
process, and a program, so that scripts can run it as one.
"""
