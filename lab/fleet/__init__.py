"""A fleet under one command: real processes, or simulated time, with faults between any two members."""
