"""standflow: an ingress that enforces quotas, on real sockets around the hoistfold decision module."""
