"""Checkers: each reads a history and returns its findings."""

from . import answers, lost

CHECKS = (lost, answers)


def check_all(history):
    """Return the findings of all checkers."""
    return [finding for module in CHECKS for finding in module.check(history)]
