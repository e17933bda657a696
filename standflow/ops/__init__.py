"""The operators' interface of a running ingress: HTTP calls, figures, and next hops excluded by hand."""
