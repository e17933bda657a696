"""Membership of the ingress fleet; disabled unless the operator's file has a `fleet` block.

`messages` is the wire format; `membership` and its parts decide and do no I/O; `member` does the I/O.
"""
