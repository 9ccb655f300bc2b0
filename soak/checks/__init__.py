"""Checkers: each reads a history and returns its findings."""

from . import (
    accounts,
    answers,
    at_most_once,
    bounds,
    configuration,
    errors,
    gone,
    keys,
    leaving,
    lost,
    not_run,
    rate,
    regions,
    retries,
    shutdown,
    streams,
)

CHECKS = (lost, answers, streams, at_most_once, not_run, keys, regions, rate, retries)
CHECKS += (leaving, configuration, gone, shutdown, accounts, bounds, errors)


def check_all(history):
    """Return the findings of all checkers."""
    return [finding for module in CHECKS for finding in module.check(history)]
