"""The state that an ingress restores after a power loss. See docs/design/recovery.md."""
