"""The project's laboratory: stand-ins for the servers around an ingress, which fail on demand."""
