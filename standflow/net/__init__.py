"""The sockets of the ingress: loop, codec, caller side, next-hop side, route set and peers."""
