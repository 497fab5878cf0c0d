"""A randomized soak: real processes, faults from outside, checks while it runs.

`python -m soak run --seed N --seconds S` plays one seed; the same seed plays
the same plan. Processes are ended by the ids they were started with.
"""
