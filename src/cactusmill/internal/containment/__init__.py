"""Containment of requests that crash endpoints.

- :mod:`.evidence` and :mod:`.probe` tell a crash from a lost response;
- :mod:`.culprits` names what may be at fault: a whole request, or a prompt part;
- :mod:`.suspicion` weighs what ran on crashed endpoints against what was served;
- :mod:`.convictions` keeps what is held back, and when it may be tried again;
- :mod:`.containment` is the state of one host, and :mod:`.messages` what hosts tell
  each other.
"""
