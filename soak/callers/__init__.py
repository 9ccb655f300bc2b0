"""Callers of every habit, who write down how each of their attempts ended."""
