"""The handover between two processes of one ingress: the state they exchange and the role of each."""
