"""TLS towards next hops. Imported only where the operator's file has a block `tls`."""
