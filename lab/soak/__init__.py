"""A seeded soak: ingresses that are restarted again and again while everything around them fails.

`plan` draws a run from a seed, `play` carries it out on real processes, `record` is what is kept of it,
`checks` finds what broke from that alone, and `timeline` draws it.
"""
