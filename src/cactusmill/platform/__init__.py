"""The users' platform: its settings, store, directory and message heads.

This folder only translates. Decisions, state and recovery are the product's.
"""
