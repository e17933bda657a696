"""Memory of one ingress against its limit, beside clients that take as much of it as they can."""
