"""The quota counter, a second witness beside the ring. Imported only where it is switched on."""
