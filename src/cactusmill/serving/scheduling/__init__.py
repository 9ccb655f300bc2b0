"""Decisions under contended load: which requests get the capacity that is left.

Nothing here does input or output, reads a clock or knows the host object; the present
time is an argument. Each module names the load pattern that it answers. For one request
they follow each other, called by :mod:`..dispatch` and :mod:`..placement`:

1. `patience` says, once a configuration, which routes are patient and which services
   are ranked.
2. `rank_levels` admits a patient request or not, by what urgent ones are refused.
3. `engine_room` gives the prompt tokens ahead of it and the memory left at an engine;
   `machine_pace` how long work takes there now.
4. `region_room` says whether it may be forwarded to another region.

Heartbeats carry what the hosts of a region, and the regions, tell each other of these.
"""
