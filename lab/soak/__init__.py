"""A seeded soak test: ingresses are restarted repeatedly while faults hit everything around them.

`plan` draws a run from a seed, `play` executes it on real processes, `record` defines the recorded rows,
`checks` finds rule violations from the record alone, and `timeline` plots it.
"""
