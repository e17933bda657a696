"""Fleets of real processes or in simulated time, with faults injected between any two members."""
