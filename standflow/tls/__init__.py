"""TLS for connections to next hops. Imported only if the configuration has a `tls` block."""
