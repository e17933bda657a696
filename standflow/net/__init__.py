"""Sockets of the ingress: event loop, codec, client side, next-hop side, route set and peers."""
