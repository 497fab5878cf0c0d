"""A randomized soak test: real processes, injected faults, and checks.

`python -m soak run --seed N --seconds S` runs one seed; the same seed gives the
same plan. Processes are ended by the ids they were started with.
"""
