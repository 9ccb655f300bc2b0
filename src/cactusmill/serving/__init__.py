"""Serving on hosts that no list names: they find each other and share budgets."""
