"""standflow: a quota-keeping ingress on real sockets round the hoistfold decisions."""
