"""Adapter for the users' platform: settings, store, directory, HTTP headers.

This package only translates between the platform's formats and the types of
:mod:`cactusmill.serving`, which holds all state, decisions and recovery.
"""
