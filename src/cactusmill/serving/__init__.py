"""Gateway hosts that discover each other by gossip and share rates and budgets."""
