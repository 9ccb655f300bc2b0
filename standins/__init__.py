"""Stand-ins for external systems, used by tests and benchmarks.

The servers are objects that handle streams, so that tests can run them in
their own process. Those with a ``main`` also run as programs.
"""
