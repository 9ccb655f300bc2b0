"""Commands of the operators' tool, a module each."""
