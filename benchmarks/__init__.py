"""Benchmarks. Each module is a program; see its ``--help``."""
