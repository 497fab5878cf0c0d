"""A randomized soak test: real processes, injected faults, and checks.

`python -m soak run --seed N --seconds S` runs one seed; the same seed gives the
same plan. It ends only processes that it started, by their process ids.
"""
