"""Which ingresses are members of the fleet. Off without the block `fleet` of the operator's file.

`messages` is the wire, `membership` the decisions with its parts (no I/O), `member` carries them out.
"""
