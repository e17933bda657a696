"""Which ingresses are members of the fleet. Off without the block `fleet` of the operator's file.

`messages` is the wire, `membership` the decisions (no I/O), `member` carries them out.
"""
