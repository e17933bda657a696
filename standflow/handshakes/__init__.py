"""Limits on handshakes with next hops, so that one that comes back cold is not met by all ingresses at once.

`turns.py`, `costs.py` and `limits.py` decide and do no I/O; `keeper.py` carries it out on connections.
"""
