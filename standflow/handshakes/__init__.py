"""Limits on handshakes with next hops, so that a restarted one is not flooded by all ingresses at once.

`time_slots.py`, `costs.py`, `limits.py` and `visible_routes.py` decide and do no I/O; `limiter.py` applies
the decisions to connections.
"""
