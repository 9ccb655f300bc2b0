"""Subcommands of the operators' command-line tool, one module each."""
