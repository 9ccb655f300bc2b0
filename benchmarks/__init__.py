"""Measurements: run as programs, each with ``--help``."""
