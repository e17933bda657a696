"""What operators ask of a running ingress: calls over HTTP, figures, next hops taken out by hand."""
